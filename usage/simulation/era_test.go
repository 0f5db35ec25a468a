package simulation

import (
	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/keyvalue/era"
)

// stamp adds the state of the store to the answer to a call that was carried out just now.
func (s *store) stamp(got answer) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	got.state = &state{era: s.era, revision: s.revision}
	return got
}

// read gives the versions of the answer their era, as the client of the store does. An answer from an era before the newest one fails.
func (v *view) read(sent era.Call, got answer, failure error) answer {
	if got.state == nil || v.store.faults.ignoresEra {
		return got
	}
	reading, err := v.host.eras.Answered(sent, era.Answer{
		Era: got.state.era, HasEra: !v.store.faults.eraUntold, Revision: winch.StoreRevision(got.state.revision),
	})
	v.host.machine.fleet.must(err)
	if reading.Late {
		return answer{err: failure}
	}
	got.entry.Version, got.version = in(reading.Era, got.entry.Version), in(reading.Era, got.version)
	for i := range got.entries {
		got.entries[i].Version = in(reading.Era, got.entries[i].Version)
	}
	return got
}

// in returns the version of a revision in the era, or that of no entry.
func in(present winch.Era, revision winch.Version) winch.Version {
	if revision.Special() {
		return revision
	}
	version, err := winch.NewVersion(present, revision.Revision())
	if err != nil {
		panic(err)
	}
	return version
}

func isOf(version winch.Version, present winch.Era) bool {
	return version.Special() || version.Era() == present
}

// informed returns the condition under which the process's terms may begin, as in winchd. It is nil if hosts tell each other no eras.
func (p *process) informed() func() bool {
	if p.machine.fleet.faults.revisionGoesBack && !p.machine.fleet.faults.ignoresEra {
		return p.told.Heard
	}
	return nil
}
