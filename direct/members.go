package direct

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines the record by which the daemons know how many they are.

// member is a daemon's record.
type member struct {
	Domain  fescuelatch.DomainID `json:"failure-domain"`
	Control netip.AddrPort       `json:"control-address"`
}

// rank orders daemons in a way that has nothing to do with their names or
// failure domains, and is the same for all.
func rank(vm fescuelatch.VMID) uint64 { return xxhash.Sum64String(string(vm)) }

// renewals is the number of times that a lease is renewed within its time.
const renewals = 3

// recordSpread is the time over which daemons that have all lost their records
// write them again.
const recordSpread = time.Second

// keepRecord keeps this daemon's record in the store until ctx ends.
func (d *Daemon) keepRecord(ctx context.Context) {
	var lease int64
	interval := d.options.LeaseTime / renewals
	for ctx.Err() == nil {
		if lease == 0 {
			lease = d.writeRecord(ctx)
		} else if left, err := d.options.Store.KeepAlive(ctx, lease); err == nil && left == 0 {
			d.log.Info("lease of this daemon's record has ended", "lease", lease)
			lease = 0
			continue
		}
		select {
		case <-time.After(interval/2 + rand.N(interval/2)):
		case <-d.recordLost:
			// The lease may have been given out again, to another daemon.
			lease = 0
			if !pause.For(ctx, rand.N(recordSpread)) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// loseRecord has the record written again, with a new lease.
func (d *Daemon) loseRecord() {
	select {
	case d.recordLost <- struct{}{}:
	default: // It will be already.
	}
}

// writeRecord writes the record with a new lease, which it returns, or 0 when
// it could not be written.
func (d *Daemon) writeRecord(ctx context.Context) int64 {
	lease, err := d.options.Store.Grant(ctx, d.options.LeaseTime)
	if err != nil {
		d.log.Debug("no lease for this daemon's record", "error", err.Error())
		return 0
	}
	value, err := json.Marshal(member{d.options.Domain, d.options.Control})
	if err != nil {
		d.log.Error("record of this daemon cannot be written", "error", err.Error())
		return 0
	}
	put := fescuelatch.KVPut{Key: d.recordKey(), Value: value, Lease: lease}
	if _, err := d.options.Store.Txn(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Put: &put}}}); err != nil {
		d.log.Debug("record of this daemon not written", "error", err.Error())
		return 0
	}
	return lease
}

func (d *Daemon) recordKey() string {
	return d.options.Notation.RecordKey(recordDaemon + string(d.options.VM))
}

// removeTimeout bounds the removal of the record at the end.
const removeTimeout = 300 * time.Millisecond

// removeRecord lets the other daemons know at once that this one has gone.
func (d *Daemon) removeRecord() {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	_, err := d.options.Store.Txn(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Delete: d.recordKey()}}})
	if err != nil {
		d.log.Info("record of this daemon not removed; it lapses", "error", err.Error())
	}
}
