package demo

import (
	"fmt"
	"time"

	"martenlock/control"
	"martenlock/internal/fakeengine"
)

// The slow start of the demo's engines. Settings has the same values.
const (
	slowStartInitialShare = 0.3             // speed at the start, as a share of full speed
	slowStartDuration     = 6 * time.Second // time from the start of the process to full speed
)

// engineGroup is a group of engines that differ only in name and zone.
type engineGroup struct {
	name     string // name of the engines without their number
	kind     string
	pool     string
	role     control.Role
	count    int
	template fakeengine.Spec // speed and limits of each engine
}

// engineGroups are the engines of the demo: 17 in two zones.
var engineGroups = []engineGroup{
	{
		name: "reader", kind: "reader", pool: "chat", role: control.RolePrefill, count: 4,
		template: fakeengine.Spec{PrefillTokensPerSecond: 60000, DecodeSlots: 64, MaxWaiting: 64},
	},
	{
		name: "writer", kind: "writer", pool: "chat", role: control.RoleDecode, count: 6,
		template: fakeengine.Spec{PrefillTokensPerSecond: 20000, TokenInterval: 10 * time.Millisecond, DecodeSlots: 24, MaxWaiting: 24, AnswerTokens: 20},
	},
	{
		name: "mixed", kind: "mixed", pool: "chat", role: control.RoleColocated, count: 2,
		template: fakeengine.Spec{PrefillTokensPerSecond: 30000, TokenInterval: 12 * time.Millisecond, DecodeSlots: 16, MaxWaiting: 24, AnswerTokens: 20},
	},
	{
		name: "embed", kind: "embedder", pool: "embeddings", role: control.RoleColocated, count: 3,
		template: fakeengine.Spec{PrefillTokensPerSecond: 20000, DecodeSlots: 64, MaxWaiting: 64, Dimensions: 64},
	},
	{
		name: "rank", kind: "ranker", pool: "rerank", role: control.RoleColocated, count: 2,
		template: fakeengine.Spec{PrefillTokensPerSecond: 20000, DecodeSlots: 64, MaxWaiting: 64},
	},
}

// EngineSpecs returns the engines of the demo. The engines of each group alternate between two zones.
func EngineSpecs() []fakeengine.Spec {
	zones := []string{"a", "b"}
	var specs []fakeengine.Spec
	for _, group := range engineGroups {
		for i := range group.count {
			spec := group.template
			spec.Name = fmt.Sprintf("%s%d", group.name, i+1)
			spec.Kind = group.kind
			spec.Pool = group.pool
			spec.Role = group.role
			spec.Zone = zones[i%len(zones)]
			spec.Cell = "1"
			spec.SlowStartInitialShare = slowStartInitialShare
			spec.SlowStartDuration = slowStartDuration
			specs = append(specs, spec)
		}
	}
	return specs
}
