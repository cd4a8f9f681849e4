package load

import (
	"github.com/snipereach/snipereach/fake"
)

// FakeSet holds the fake upstreams that run in the tool's process.
type FakeSet struct {
	engines []*fake.Engine
	plains  []*fake.Plain
}

// StartFakes starts the fake upstreams of the settings.
func StartFakes(f Fakes) (*FakeSet, error) {
	set := &FakeSet{}
	for _, s := range f.Engine {
		e := &fake.Engine{Server: fake.Server{Slots: s.Slots, Listen: s.Listen}, Step: s.Work.D()}
		if err := e.Start(); err != nil {
			set.Close()
			return nil, err
		}
		set.engines = append(set.engines, e)
	}
	for _, s := range f.Plain {
		p := &fake.Plain{Server: fake.Server{Slots: s.Slots, Listen: s.Listen}, WorkTime: s.Work.D()}
		if err := p.Start(); err != nil {
			set.Close()
			return nil, err
		}
		set.plains = append(set.plains, p)
	}
	return set, nil
}

// Runs returns how often the fakes ran each request, by run key.
func (s *FakeSet) Runs() map[string]int {
	total := map[string]int{}
	for _, e := range s.engines {
		addRuns(total, e.Runs())
	}
	for _, p := range s.plains {
		addRuns(total, p.Runs())
	}
	return total
}

func addRuns(total, runs map[string]int) {
	for key, n := range runs {
		total[key] += n
	}
}

// Close stops all fakes.
func (s *FakeSet) Close() {
	for _, e := range s.engines {
		e.Close()
	}
	for _, p := range s.plains {
		p.Close()
	}
}
