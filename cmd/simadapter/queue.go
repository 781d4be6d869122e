package main

import (
	"fmt"

	"martenlock/control"
	"martenlock/internal/simwire"
)

// instanceQueue holds the events of one instance in one batch.
type instanceQueue struct {
	instance uint16
	router   *control.Router // nil if the instance was stopped
	events   []control.Event
}

// instanceQueues holds the queues of one batch.
type instanceQueues struct {
	ordered    []*instanceQueue // by the instances' first events
	byInstance map[uint16]*instanceQueue
}

// forInstance returns the queue of an instance. It creates the queue if there is none.
func (q *instanceQueues) forInstance(instance uint16) *instanceQueue {
	queue := q.byInstance[instance]
	if queue == nil {
		queue = &instanceQueue{instance: instance}
		q.byInstance[instance] = queue
		q.ordered = append(q.ordered, queue)
	}
	return queue
}

// handle passes the events to the router and returns its actions as records. If the router panics, the only
// record is an InternalError.
func (q *instanceQueue) handle(now control.Time) (records []simwire.Action) {
	defer func() {
		panicValue := recover()
		if panicValue != nil {
			records = append(records, q.action(simwire.InternalError{Text: fmt.Sprint(panicValue)}))
		}
	}()
	for _, action := range q.router.Handle(now, q.events) {
		records = append(records, q.action(simwire.ModuleAction{Action: action}))
	}
	return records
}

func (q *instanceQueue) action(body simwire.ActionBody) simwire.Action {
	return simwire.Action{Router: q.instance, Body: body}
}
