package control

import "time"

// View is what a router believes of a server, for operators to compare with its traffic.
type View struct {
	State     State
	Out       int     // our attempts there
	Streaming int     // of them, those whose answer has begun
	Ill       float64 // share of recent attempts that failed
	Aside     bool
	Pace      float64       // its better times over its role's mean; 0 for unknown
	Resting   time.Duration // it turned us away: nothing is sent for so long yet
	Cold      bool
}

// View returns what is believed of a server; false for an unknown one.
func (r *Router) View(id ServerID) (v View, ok bool) {
	s := r.servers[id]
	if s == nil {
		return v, false
	}
	v = View{State: s.State, Out: len(s.out), Ill: s.ill, Aside: s.aside(), Pace: s.pace, Cold: !r.warm(s)}
	for _, q := range s.out {
		if q.started {
			v.Streaming++
		}
	}
	if s.restUntil > r.now {
		v.Resting = s.restUntil.Sub(r.now)
	}
	return v, true
}
