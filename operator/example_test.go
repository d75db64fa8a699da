package operator_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/operator"
)

func ExampleClient_Propose() {
	winner := &fescuelatch.Change{ID: "c-17", Base: 4, Author: "uwase"}
	backend := &fakeBackend{failure: &operator.Error{Op: "propose change", Kind: operator.KindConflict, Winner: winner}}
	s := httptest.NewServer(operator.NewHandler(operator.Options{Key: testKey, Backend: backend}))
	defer s.Close()
	c := &operator.Client{
		Addresses: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))},
		Key:       testKey,
		HTTP:      operator.NewHTTPClient(time.Second),
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := c.Propose(ctx, &fescuelatch.Change{ID: "c-18", Base: 4, Digest: "d"})
	var e *operator.Error
	if errors.As(err, &e) && e.Kind == operator.KindConflict {
		fmt.Printf("generation %d is change %s of %s\n", e.Winner.Generation(), e.Winner.ID, e.Winner.Author)
	}
	// Output:
	// generation 5 is change c-17 of uwase
}

func ExampleDomainStatus_Unconfirmed() {
	d := operator.DomainStatus{ID: "kgl-c", Daemons: []operator.DaemonStatus{
		{VM: "kgl-c-vm-1", State: operator.DaemonAlive, Generation: 12},
		{VM: "kgl-c-vm-2", State: operator.DaemonCutOff, Generation: 11, Since: time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)},
	}}
	for _, m := range d.Unconfirmed(12) {
		fmt.Println(m.VM, m.State, "since", m.Since.Format(time.TimeOnly))
	}
	// Output:
	// kgl-c-vm-2 cut-off since 06:00:00
}
