package platformsettings

import "martenlock/control"

// settingsObject is the JSON form of the settings. Missing keys are zero, and unknown keys are ignored. Fields
// whose name differs from the platform's have a tag.
type settingsObject struct {
	Tenants        []tenantObject `json:"Accounts"`
	Routers        int            `json:"Balancers"`
	Rank           int
	Zone           uint16
	Family         familyObject `json:"FamilyInfo"`
	Limits         limitsObject
	LoadReport     loadReportObject
	KindNames      []string `json:"HostTypes"`
	MembershipMode string
	Classes        []classObject `json:"RequestClasses"`
	Rules          rulesObject
	ZoneNames      []string `json:"Zones"`
}

// tenantObject is the rate limit and the share of one tenant.
type tenantObject struct {
	RateLimitPerSecond float64 `json:"AllowancePerS"`
	Share              float64
}

// familyObject describes the engines, their latency objectives and what they do with KV state.
type familyObject struct {
	TTFTUsPer1000PromptTokens []float64 `json:"AimUsPer1000PromptTokens"`
	ITLObjectiveUs            []float64 `json:"TokenAimUs"`
	RoleByKind                []string  `json:"KindRole"`
	MemoryTokensByKind        []float64 `json:"TokensByKind"`
	KVRetentionLimitUs        float64   `json:"PinLimitUs"`
	ResumesStreams            bool      `json:"Resume"`
	ReportX0                  string    // description of the load report's field x0, which is specific to the site
	ReportX1                  string    // description of the load report's field x1
	DecodeCanPrefill          bool      `json:"WritersRead"`
}

// limitsObject holds the limits and capabilities of a router.
type limitsObject struct {
	MaxAttempts              int     `json:"AttemptsCap"`
	CanCancel                bool    `json:"Cancelling"`
	EngineKeepAliveTimeoutUs float64 `json:"ConnIdleUs"`
	ConnectTimeoutUs         float64
	MaxRequests              int `json:"MostHeld"`
	MaxRetryAfterUs          float64
	CanHealthCheck           bool `json:"Probes"`
	SendsRetryAfter          bool `json:"RetryAfter"`
}

// loadReportObject holds the names of the fields of an engine's load report, in the order of the report.
type loadReportObject struct{ Fields []string }

// classObject is one class of requests.
type classObject struct {
	Name            string
	TTFTObjectiveUs float64 `json:"AimUs"`
	DeadlineUs      float64
	DedupWindowUs   float64 `json:"WindowUs"`
	LateWeightShare float64 `json:"LateWorth"`
	PriorityWeight  float64 `json:"Worth"`
	Effect          string
	DedupScope      string
}

// rulesObject describes how engines start, drain and fail under overload, and how late a final answer may come.
type rulesObject struct {
	SlowStartShare   float64 `json:"ColdFrom"`
	SlowStartUs      float64 `json:"ColdUs"`
	DrainGraceUs     float64
	OverloadMultiple float64 `json:"FallMultiple"`
	OverloadUs       float64 `json:"FallUs"`
	AnswerGraceUs    float64 `json:"GraceToAnswerUs"`
}

// membershipModeSubscribe is the value of MembershipMode if routers must subscribe to the endpoint list.
const membershipModeSubscribe = "ask"

// Enumerated values by their names on the platform.
var (
	roleByName = map[string]control.Role{
		"read":  control.RolePrefill,
		"write": control.RoleDecode,
		"both":  control.RoleColocated,
	}
	idempotencyByName = map[string]control.Idempotency{
		"idempotent":   control.Idempotent,
		"deduplicated": control.IdempotentWithKey,
		"at_most_once": control.NotIdempotent,
	}
	dedupScopeByName = map[string]control.DedupScope{
		"":     control.DedupScopeAll,
		"all":  control.DedupScopeAll,
		"zone": control.DedupScopeZone,
		"cell": control.DedupScopeCell,
	}
	reportFieldByName = map[string]control.ReportField{
		"rif":  control.ReportInFlight,
		"q":    control.ReportQueued,
		"busy": control.ReportUtilization,
	}
)
