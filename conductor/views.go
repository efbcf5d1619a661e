package conductor

import (
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/selector"
)

const (
	// loadScale converts loads to the unit of views, a tenth of a request.
	loadScale = 10
	// slowdownScale converts slowdowns to percent.
	slowdownScale = 100
	// maxViewLoad is the largest load that is taken from a view.
	maxViewLoad = 1 << 16
)

// encodeViews returns the message of the views, or nil if there are none.
func encodeViews(views []selector.View) *messenger.Views {
	if len(views) == 0 {
		return nil
	}
	m := &messenger.Views{}
	slowed := false
	for _, v := range views {
		m.Targets = append(m.Targets, v.Target)
		load := uint32(0)
		if v.Load >= 0 {
			load = 1 + uint32(v.Load*loadScale)
		}
		m.Loads = append(m.Loads, load)
		m.Answered = append(m.Answered, uint32(v.Answered))
		m.Failed = append(m.Failed, uint32(v.Failed))
		m.Slowdowns = append(m.Slowdowns, uint32(v.Slowdown*slowdownScale))
		slowed = slowed || v.Slowdown > 0
	}
	if !slowed {
		m.Slowdowns = nil
	}
	return m
}

// decodeViews returns the views of a message; a list that is shorter than that of the targets ends
// the views.
func decodeViews(m *messenger.Views) []selector.View {
	n := min(len(m.GetTargets()), len(m.GetLoads()), len(m.GetAnswered()), len(m.GetFailed()))
	if slowdowns := len(m.GetSlowdowns()); slowdowns > 0 {
		n = min(n, slowdowns)
	}
	views := make([]selector.View, 0, n)
	for i := range n {
		v := selector.View{
			Target: m.GetTargets()[i], Load: -1,
			Answered: int(m.GetAnswered()[i]), Failed: int(m.GetFailed()[i]),
		}
		if load := m.GetLoads()[i]; load > 0 && load <= maxViewLoad {
			v.Load = float64(load-1) / loadScale
		}
		if len(m.GetSlowdowns()) > 0 {
			v.Slowdown = float64(m.GetSlowdowns()[i]) / slowdownScale
		}
		views = append(views, v)
	}
	return views
}
