package platform

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"martenlock/control/membership"
)

// subscribe leaves the discovery subscribed to so far, if any, for the one at an address.
func (s *Server) subscribe(address netip.AddrPort) {
	if s.discovery != nil {
		s.discovery.stop()
	}
	s.discovery = &discoveryClient{
		loop:            s.loop,
		store:           s,
		address:         address,
		maxMessageBytes: s.limits.maxBufferedBytes / (2 * membership.MaxConcurrentCalls), // half of the budget for all calls together
	}
	s.discovery.start()
}

// listRevision returns the revision of the endpoint list held.
func (s *Server) listRevision() uint64 { return s.membership.Revision() }

// applyEndpointList takes in one message of discovery; the error tells that it cannot be read.
func (s *Server) applyEndpointList(text []byte) error {
	var message endpointListMessage
	err := json.Unmarshal(text, &message)
	if err != nil {
		return fmt.Errorf("decode endpoint list: %w", err)
	}
	update, err := message.update(&s.config.Settings, s.routerTime)
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

// expireEndpointList applies what the passing of time makes of the endpoint list.
func (s *Server) expireEndpointList() { s.notifyEndpoints(s.membership.Poll(s.now())) }

// notifyEndpoints tells the decision module of changes of the endpoint list, and schedules the
// list's next expiry.
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

// warn logs a warning that may recur, unless one of its kind was logged shortly before.
func (s *Server) warn(kind warning, err error) {
	if !s.warnings.allow(s.loop.Now(), kind) {
		return
	}
	line := s.log.Warn().Err(err)
	if kind.reason != "" {
		line = line.Str("reason", kind.reason)
	}
	if kind.status != 0 {
		line = line.Int("status", kind.status)
	}
	line.Msg(kind.message)
}
