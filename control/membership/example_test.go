package membership_test

import (
	"fmt"
	"net/netip"

	"martenlock/control"
	"martenlock/control/membership"
)

func ExampleView() {
	endpoint := func(id control.EndpointID, state control.EndpointState) membership.Endpoint {
		return membership.Endpoint{
			Endpoint: control.Endpoint{ID: id, State: state},
			Addr:     netip.MustParseAddrPort("127.0.0.1:8000"),
		}
	}
	const now = control.Time(1_000_000)
	var view membership.View
	current := membership.Update{
		Revision:  7,
		Full:      true,
		Endpoints: []membership.Endpoint{endpoint(1, control.Ready)},
	}
	if _, err := view.Apply(now, current); err != nil {
		fmt.Println(err)
	}

	// A stale full list with another endpoint changes nothing at first.
	stale := membership.Update{
		Revision:  3,
		Full:      true,
		Endpoints: []membership.Endpoint{endpoint(2, control.Ready)},
	}
	change, err := view.Apply(now, stale)
	fmt.Println("unchanged:", change.IsEmpty(), err)

	// It is applied if nothing else arrives for StaleAcceptDelay.
	next, _ := view.NextPoll()
	change = view.Poll(next)
	fmt.Println("after", next.Sub(now), "revision", view.Revision(), "endpoint", change.Endpoints[0].ID)
	// Output:
	// unchanged: true <nil>
	// after 500ms revision 3 endpoint 2
}
