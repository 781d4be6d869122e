package platform

import (
	"encoding/json"
	"fmt"

	"martenlock/control"
	"martenlock/control/membership"
)

// listRevision implements endpointListStore.
func (s *Server) listRevision() uint64 { return s.membership.Revision() }

// applyEndpointList implements endpointListStore. Unusable entries and lists are logged and have no
// other effect.
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
	s.notifyEndpoints(change)
	return nil
}

// expireEndpointList applies the changes of the endpoint list that are due by now.
func (s *Server) expireEndpointList() { s.notifyEndpoints(s.membership.Poll(s.now())) }

// notifyEndpoints applies a change of the endpoint list and schedules the list's next expiry.
func (s *Server) notifyEndpoints(change membership.Change) {
	if !change.IsEmpty() {
		s.updateEndpoints(change.EndpointUpdate)
	}
	s.loop.StopTimer(&s.listExpiryTimer)
	expiry, isSet := s.membership.NextDeadline()
	if isSet {
		s.loop.StartTimer(&s.listExpiryTimer, expiry.Sub(s.now()))
	}
}

// updateEndpoints applies an update to the engines' connections and reports it to the decision module.
func (s *Server) updateEndpoints(update control.EndpointUpdate) {
	for _, changed := range update.Endpoints {
		member, isListed := s.membership.Get(changed.ID)
		if isListed {
			s.listEndpoint(member)
		}
	}
	s.updateStates()
	s.push(update)
}

// listEndpoint adds an engine to the table or updates it. The connections of an engine that has
// restarted or moved lead to an ended process.
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

// updateStates limits the sends to engines that are not ready, delists those that are no longer in
// the endpoint list, and updates the engines that release KV state.
func (s *Server) updateStates() {
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
	if len(ready) == 0 { // a draining engine still serves what it has, and releases KV state too
		ready = draining
	}
	s.kvReleases.scheduler.SetEndpoints(ready)
}
