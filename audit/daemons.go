package audit

import (
	"time"

	"fescuelatch"
)

// This file defines the checks of daemon stops and configurations.

// checkGraceful requires that a daemon exits with status 0 in a planned stop
// and that no call to it breaks off during the stop.
func checkGraceful(x *index, f *Finding) {
	for _, s := range x.Stops {
		f.Checked++
		if !s.Clean {
			f.violate("%s did not exit by itself with status 0", s.VM)
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

// checkGeneration requires of each sample that its generation is not below an
// earlier one of the same VM and includes changes older than Grace. A daemon
// that has just started may have no configuration.
func checkGeneration(x *index, f *Finding) {
	last := make(map[fescuelatch.VMID]fescuelatch.Generation)
	for _, s := range x.Samples {
		f.Checked++
		if s.Generation < last[s.VM] && s.Generation > 0 {
			f.violate("%s reverted from generation %d to %d", s.VM, last[s.VM], s.Generation)
		}
		last[s.VM] = max(last[s.VM], s.Generation)
		if want := x.requiredGeneration(s.VM, s.At); s.Generation < want {
			f.violate("%s has generation %d at %s; %d was accepted more than %v earlier", s.VM, s.Generation, formatTime(s.At), want, x.Grace)
		}
	}
}

// requiredGeneration returns the lowest generation valid at a VM at a time.
func (x *index) requiredGeneration(m fescuelatch.VMID, at time.Time) fescuelatch.Generation {
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
