package audit

import (
	"time"

	"fescuelatch"
)

// This file defines the checks of daemons' stops and configurations.

// checkGraceful asks that a daemon end by itself in a planned stop, and that
// no call to it break off meanwhile.
func checkGraceful(x *index, f *Finding) {
	for _, s := range x.Stops {
		f.Checked++
		if !s.Clean {
			f.violate("%s did not end by itself with exit status 0", s.VM)
		}
		for n := range x.Records {
			r := &x.Records[n]
			if r.Target != s.Caller || r.Outcome != "" {
				continue
			}
			if r.Sent.Before(s.To) && r.Ended.After(s.From) {
				f.violate("%s broke off request %s: %s", s.VM, r.Nonce, r.Message)
			}
		}
	}
}

// checkGeneration asks of each sample that it is not below an earlier one of
// the same VM, and that changes older than the grace are in force. A daemon
// that has just started knows no configuration for a while.
func checkGeneration(x *index, f *Finding) {
	last := make(map[fescuelatch.VMID]fescuelatch.Generation)
	for _, s := range x.Samples {
		f.Checked++
		if s.Generation < last[s.VM] && s.Generation > 0 {
			f.violate("%s went back from generation %d to %d", s.VM, last[s.VM], s.Generation)
		}
		last[s.VM] = max(last[s.VM], s.Generation)
		if want := x.due(s.VM, s.At); s.Generation < want {
			f.violate("%s has generation %d at %s; %d was accepted %v before", s.VM, s.Generation, clock(s.At), want, x.Grace)
		}
	}
}

// due returns the generation that must be in force at a VM.
func (x *index) due(m fescuelatch.VMID, at time.Time) fescuelatch.Generation {
	var g fescuelatch.Generation
	for _, v := range x.Events {
		if v.Kind == EventDaemonStarted && v.Name == string(m) && !v.At.After(at) && at.Before(v.At.Add(x.Grace)) {
			return 0
		}
		if v.Generation > g && v.At.Add(x.Grace).Before(at) {
			g = v.Generation
		}
	}
	return g
}
