package platform

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/internal/platformsettings"
)

// TestGoldenSites pins what a router parses of each deployment's settings, and the health check
// and one exchange of each class of a router that runs with them.
func TestGoldenSites(t *testing.T) {
	t.Parallel()
	wire, protocol := readJSON[wireNames](t, "wire.json"), readJSON[httpNames](t, "real.json")
	files, err := filepath.Glob(filepath.Join(sitesDir, "*.toml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no sites: %v", err)
	}
	for _, path := range files {
		file := filepath.Base(path)
		name := strings.TrimSuffix(file, ".toml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := readSite(t, file)
			g := newGoldenHarness(t, site.Tier[0].Kind[0].Name, site.Tier[0].Kind[1].Name)
			g.zone = site.Net.Zones[0]
			config := g.config(siteSettings(t, &site, &wire, &protocol), siteList(g.list(1), &protocol))
			compareGolden(t, "site-"+name+"-settings", dumpConfig(t, loadGoldenConfig(t, config)))
			g.startWith(config)

			g.exchange("GET " + protocol.Paths.Ready + " HTTP/1.1\r\nHost: x\r\n\r\n")
			for _, class := range site.Class {
				deadline := time.Duration(class.Deadline) * time.Millisecond
				g.exchange(g.chat(class.Name, siteEdits(&protocol, deadline)...))
			}

			compareGolden(t, "site-"+name, g.transcript())
		})
	}
}

var (
	goldenRoles   = map[control.Role]string{control.RolePrefill: "prefill", control.RoleDecode: "decode", control.RoleColocated: "both"}
	goldenEffects = map[control.Idempotency]string{control.Idempotent: "idempotent", control.IdempotentWithKey: "deduplicated", control.NotIdempotent: "at most once"}
)

// goldenClass is a request class in the dump of settings.
type goldenClass struct {
	Name      string  `json:"name"`
	Aim       string  `json:"first_token_target"`
	PromptAim string  `json:"first_token_target_per_1000_prompt_tokens"`
	TokenAim  string  `json:"token_interval_target"`
	Deadline  string  `json:"deadline"`
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"`
	Effect    string  `json:"effect"`
	Attempts  int     `json:"max_attempts"`
}

// goldenKind is a kind of engine in the dump of settings.
type goldenKind struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`
	Memory float64 `json:"memory_tokens"`
}

// goldenConfig is the dump of a configuration, with names that don't follow the program's.
type goldenConfig struct {
	Seed           string        `json:"seed"`
	Name           string        `json:"router_name"`
	Cores          float64       `json:"cores"`
	MemoryMB       float64       `json:"memory_mb"`
	Sockets        int           `json:"sockets"`
	Routers        int           `json:"routers"`
	Rank           int           `json:"rank"`
	Zone           uint16        `json:"zone"`
	Zones          []string      `json:"zones"`
	Classes        []goldenClass `json:"classes"`
	Kinds          []goldenKind  `json:"engine_kinds"`
	ReportFields   int           `json:"load_report_fields"`
	Tenants        int           `json:"tenants"`
	Probes         bool          `json:"probes"`
	Cancel         bool          `json:"cancel"`
	AskFleet       bool          `json:"engine_list_is_asked_for"`
	DecodePrefills bool          `json:"decode_engines_prefill"`
	Resume         bool          `json:"resume"`
	MaxAttempts    int           `json:"max_attempts"`
	MaxHeld        int           `json:"max_held_requests"`
	MaxRetryAfter  string        `json:"max_retry_after"`
	ConnectTimeout string        `json:"connect_timeout"`
	ConnIdle       string        `json:"connection_idle"`
	PinLimit       string        `json:"held_state_limit"`
	DrainGrace     string        `json:"drain_grace"`
	AnswerGrace    string        `json:"answer_grace"`
	ColdFrom       float64       `json:"cold_start_share"`
	ColdFor        string        `json:"cold_start_time"`
	FallMultiple   float64       `json:"overload_multiple"`
	FallAfter      string        `json:"overload_time"`
}

// dumpConfig shows all that was parsed of a configuration.
func dumpConfig(t *testing.T, cfg *Config) string {
	t.Helper()
	set, ctl := &cfg.Settings, &cfg.Settings.Control
	out := goldenConfig{
		Seed: fmt.Sprintf("%016x", ctl.Identity.Seed), Name: cfg.Name, Cores: cfg.Limits.Cores, MemoryMB: cfg.Limits.MemoryMB, Sockets: cfg.Limits.Sockets,
		Routers: ctl.Identity.Routers, Rank: ctl.Identity.Rank, Zone: ctl.Identity.Zone, Zones: set.ZoneNames, Classes: dumpClasses(set), Kinds: dumpKinds(set),
		ReportFields: len(ctl.Engines.ReportFields), Tenants: len(ctl.Tenants), Probes: ctl.Caller.CanHealthCheck, Cancel: ctl.Caller.CanCancel, AskFleet: ctl.Caller.MustSubscribe,
		DecodePrefills: ctl.Engines.DecodeCanPrefill, Resume: set.ResumesStreams, MaxAttempts: ctl.Limits.MaxAttempts, MaxHeld: set.MaxRequests,
		MaxRetryAfter: ctl.Limits.MaxRetryAfter.String(), ConnectTimeout: ctl.Limits.ConnectTimeout.String(), ConnIdle: set.EngineIdleTimeout.String(),
		PinLimit: ctl.Limits.KVRetentionLimit.String(), DrainGrace: ctl.Limits.DrainGrace.String(), AnswerGrace: ctl.Limits.AnswerGrace.String(),
		ColdFrom: ctl.SlowStart.InitialShare, ColdFor: ctl.SlowStart.Duration.String(), FallMultiple: ctl.SlowStart.OverloadMultiple, FallAfter: ctl.SlowStart.OverloadDuration.String(),
	}
	text, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return string(text) + "\n"
}

func dumpClasses(set *platformsettings.Settings) (out []goldenClass) {
	for i, class := range set.Control.Classes {
		out = append(out, goldenClass{
			Name: set.ClassNames[i], Aim: class.TTFTObjective.String(), PromptAim: class.TTFTPer1000Tokens.String(), TokenAim: class.ITLObjective.String(),
			Deadline: class.Deadline.String(), Worth: class.PriorityWeight, LateWorth: class.LateWeightShare, Effect: goldenEffects[class.Idempotency], Attempts: class.MaxAttempts,
		})
	}
	return out
}

func dumpKinds(set *platformsettings.Settings) (out []goldenKind) {
	for i, kind := range set.Control.Engines.Kinds {
		out = append(out, goldenKind{Name: set.KindNames[i], Role: goldenRoles[kind.Role], Memory: float64(kind.MemoryTokens)})
	}
	return out
}
