package platform

import (
	"encoding/json"
	"fmt"

	"martenlock/control"
	"martenlock/control/membership"
)

// listRevision implements endpointListStore.
func (s *Server) listRevision() uint64 { return s.membership.Revision() }

// applyEndpointList implements endpointListStore. Invalid entries, and lists that the membership view
// rejects, are logged and ignored.
func (s *Server) applyEndpointList(text []byte) error {
	var message endpointListMessage
	err := json.Unmarshal(text, &message)
	if err != nil {
		return fmt.Errorf("decode endpoint list: %w", err)
	}
	update, err := message.update(&s.config.Settings, s.controlTime)
	if err != nil {
		s.warn(warning{message: "discovery entries skipped"}, err)
	}
	change, err := s.membership.Apply(s.now(), update)
	if err != nil {
		s.warn(warning{message: "endpoint list rejected"}, err)
	}
	s.applyListChange(change)
	return nil
}

// pollEndpointList applies the delayed changes of the endpoint list that are due.
func (s *Server) pollEndpointList() { s.applyListChange(s.membership.Poll(s.now())) }

// applyListChange applies a change of the endpoint list and starts the timer for the next delayed one.
func (s *Server) applyListChange(change membership.Change) {
	if !change.IsEmpty() {
		s.updateEndpoints(change.EndpointUpdate)
	}
	s.loop.StopTimer(&s.listPollTimer)
	next, isSet := s.membership.NextPoll()
	if isSet {
		s.loop.StartTimer(&s.listPollTimer, next.Sub(s.now()))
	}
}

// updateEndpoints applies an update to the endpoint table and passes it to the decision module.
func (s *Server) updateEndpoints(update control.EndpointUpdate) {
	for _, changed := range update.Endpoints {
		member, isListed := s.membership.Get(changed.ID)
		if isListed {
			s.listEndpoint(member)
		}
	}
	s.updateEndpointStates()
	s.push(update)
}

// listEndpoint adds an engine to the table or updates it. If the engine has restarted or moved, it closes
// the idle connections, which lead to the previous process.
func (s *Server) listEndpoint(member membership.Endpoint) {
	e := s.endpoints.byID[member.ID]
	if e == nil {
		e = s.newEndpoint(member.ID)
	} else if e.Addr != member.Addr || e.startedAt != member.StartedAt {
		e.CloseIdle()
	}
	e.Addr = member.Addr
	e.address = member.Addr.String()
	e.name = member.Name
	e.kind = member.Kind
	e.startedAt = member.StartedAt
	e.Removed = false
}

// updateEndpointStates bounds pending writes to engines that are not ready, delists the engines that have
// left the endpoint list, and passes the engines that can release KV state to the scheduler.
func (s *Server) updateEndpointStates() {
	var ready, draining []control.EndpointID
	for id, e := range s.endpoints.byID {
		member, isListed := s.membership.Get(id)
		if isListed && member.State == control.Ready {
			ready = append(ready, id)
			continue
		}
		e.limitPendingSends()
		if isListed {
			draining = append(draining, id)
		} else {
			e.delist()
		}
	}
	if len(ready) == 0 { // a draining engine still answers release calls
		ready = draining
	}
	s.kvReleases.scheduler.SetEndpoints(ready)
}
