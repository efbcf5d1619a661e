package surveyor

import (
	"slices"
	"time"

	"github.com/fescuethread/fescuethread/registrar"
	"github.com/fescuethread/fescuethread/router"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// surveyPeriod is the time for which peers' reports, drains and rules are gathered once.
	surveyPeriod = 100 * time.Millisecond
	// maxSurveys bounds the surveys that are kept.
	maxSurveys = 1024
)

// survey is what was gathered for one kind of request.
type survey struct {
	at    timer.Instant
	inv   *registrar.Inventory
	zones []router.Zone
}

func (s *Surveyor) keep(q router.Query, v survey) {
	if len(s.surveys) >= maxSurveys {
		clear(s.surveys)
	}
	s.surveys[q] = v
}

// refresh returns a kept survey with the ages, the own slots and the requests in flight of now.
func (s *Surveyor) refresh(now timer.Instant, q router.Query, v survey) []router.Zone {
	zones := slices.Clone(v.zones)
	for i := range zones {
		z := &zones[i]
		if z.Near {
			z.Load = s.nearLoad(z.Name, q.Service)
			continue
		}
		z.Load.Age += now.Sub(v.at)
		f := s.flight(q.Service, z.Name)
		z.InFlight = f.Count()
		z.Held = f.Held(now, z.Load)
		z.Refused = f.Refused(now, z.Load)
	}
	return zones
}

// nearLoad is the load of the slots of a zone that this host holds itself.
func (s *Surveyor) nearLoad(zone, service string) router.Load {
	for _, l := range s.slots.Loads(zone) {
		if l.Service != service {
			continue
		}
		return router.Load{
			Known:   true,
			Ready:   l.Ready,
			Busy:    l.Busy,
			Queued:  l.Queued,
			Service: l.Took,
		}
	}
	return router.Load{}
}
