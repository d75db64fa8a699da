package fleet

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"fescuelatch"
	"fescuelatch/internal/process"
)

// This file defines the command lines of the programs in a fleet.

// Program names in Options.Bin.
const (
	daemonProgram  = "fescuelatchd"
	standinProgram = "standin"
)

// standin returns the command of a stand-in that listens on a.
func (f *Fleet) standin(name, kind string, a netip.AddrPort, args ...string) process.Command {
	return process.Command{
		Name: name,
		Path: filepath.Join(f.options.Bin, standinProgram),
		Args: append([]string{kind, "--listen", a.String()}, args...),
	}
}

// defaultColdStart is how long a new engine process is cold, unless
// Options.Engine overrides it.
const defaultColdStart = "2s"

// engine returns the command of the stand-in of a model engine. Its answers
// have the quality that the inventory lists for each version.
func (f *Fleet) engine(e fescuelatch.Endpoint, p fescuelatch.Pool) process.Command {
	args := []string{
		"--endpoint", string(e.ID),
		"--slots", strconv.Itoa(p.Slots),
		"--cold-slots", strconv.Itoa(p.ColdSlots),
		"--cold-start", defaultColdStart,
		"--weights", f.addresses.weights.String(),
	}
	if !p.Fenced {
		args = append(args, "--ignore-fencing")
	}
	args = append(args, "--versions")
	for _, v := range p.Versions {
		args = append(args, string(v))
	}
	args = append(args, "--quality")
	for _, v := range f.Configuration.Inventory.Versions {
		if slices.Contains(p.Versions, v.ID) {
			args = append(args, fmt.Sprintf("%s=%g", v.ID, v.Quality))
		}
	}
	return f.standin("engine-"+string(e.ID), "engine", e.Address, args...)
}

// service returns the command of the stand-in of a plain service.
func (f *Fleet) service(e fescuelatch.Endpoint, p fescuelatch.Pool) process.Command {
	return f.standin("service-"+string(e.ID), "service", e.Address,
		"--endpoint", string(e.ID),
		"--slots", strconv.Itoa(p.Slots))
}

// link returns the command of a relay from a to target.
func (f *Fleet) link(name string, a, target netip.AddrPort, control netip.AddrPort) process.Command {
	return f.standin(name, "link", a, "--to", target.String(), "--control", control.String())
}

// daemon returns the command of the daemon of m, with its peer address.
func (f *Fleet) daemon(m fescuelatch.VM, peer netip.AddrPort) process.Command {
	args := []string{
		"--vm", string(m.ID),
		"--domain", string(m.Domain),
		"--peer-listen", peer.String(),
		"--caller-listen", m.Caller.String(),
		"--operator-listen", m.Operator.String(),
		"--dial-from", m.Peer.Addr().String(),
		"--platform", "http://" + f.addresses.platformLink.String(),
		"--vms", "http://" + f.addresses.vms.String(),
		"--rating", "http://" + f.addresses.rating.String(),
	}
	return process.Command{
		Name: "daemon-" + string(m.ID),
		Path: filepath.Join(f.options.Bin, daemonProgram),
		Args: append(args, f.options.Daemon...),
		Env: []string{
			"FESCUELATCH_FLEET_KEY=" + f.fleetKey,
			"FESCUELATCH_OPERATOR_KEY=" + f.OperatorKey,
			"FESCUELATCH_SESSION_KEYS=k1:" + f.sessionKey,
			"FESCUELATCH_SEEDS=" + strings.Join(f.seeds(m), ","),
		},
	}
}

// seeds returns the peer addresses of the other VMs of m's failure domain
// and of the first VM of each other failure domain.
func (f *Fleet) seeds(m fescuelatch.VM) []string {
	var as []string
	seen := make(map[fescuelatch.DomainID]bool)
	for _, o := range f.Configuration.Inventory.VMs {
		if o.ID != m.ID && (o.Domain == m.Domain || !seen[o.Domain]) {
			as = append(as, o.Peer.String())
			seen[o.Domain] = true
		}
	}
	return as
}
