package control

// Kept is how many requests, sessions and waits the router remembers.
func (r *Router) Kept() int {
	n := len(r.requests) + len(r.sessions) + len(r.held) + len(r.resting)
	for _, s := range r.order {
		n += len(s.out)
	}
	return n
}
