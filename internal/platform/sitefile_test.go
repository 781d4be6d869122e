package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const sitesDir = "../../deploy/sites"

// valueRange has the lower and upper bound of a number. The tests use the lower one.
type valueRange [2]float64

// siteFile is the part of a site's TOML file that determines its routers' settings. Fields without a tag are decoded
// from keys of the same name in any case.
type siteFile struct {
	Scale   struct{ Balancers valueRange }
	Net     struct{ Zones []string }
	Clients struct {
		MaxRetryAfter float64 `json:"max_retry_after_ms"`
	}
	Discovery struct{ Mode string }
	Allow     struct {
		Probes       bool
		Cancel       bool
		SecondCopies bool    `json:"second_copies"`
		RetryAfter   bool    `json:"retry_after"`
		MaxAttempts  float64 `json:"max_attempts"`
	}
	Rules struct {
		DrainGrace   float64 `json:"drain_grace_ms"`
		FallMultiple float64 `json:"fall_multiple"`
		FallAfter    float64 `json:"fall_ms"`
	}
	Tier []struct {
		Report struct{ Fields []string }
		Conn   struct {
			Idle           float64 `json:"idle_s"`
			ConnectTimeout float64 `json:"connect_timeout_ms"`
		}
		Kind []struct {
			Name     string
			ColdFrom valueRange `json:"cold_from"`
			ColdFor  valueRange `json:"cold_s"`
		}
	}
	Class []struct {
		Name      string
		Aim       float64 `json:"aim_ms"`
		Deadline  float64 `json:"deadline_ms"`
		Worth     float64
		LateWorth float64 `json:"late_worth"`
		Effect    string
		Stream    bool
	}
	Fam struct {
		Role        []string
		WritersRead bool `json:"writers_read"`
		Resume      bool
		Release     float64 `json:"release_ms"`
		Engine      []struct {
			Memory valueRange `json:"memory_k"`
		}
		Class []struct {
			TokenAim   float64 `json:"token_ms"`
			AimPer1000 float64 `json:"aim_ms_per_k"`
		}
	}
}

// wireNames is the part of wire.json that determines the names in the settings object. Golden files contain its JSON
// form, with the field names.
type wireNames struct {
	Init struct {
		UnitSuffix string `json:"unit_suffix"`
		Rename     map[string]string
		Words      map[string]string
	}
}

// key returns a setting's key in the settings object.
func (w *wireNames) key(name string) string {
	if other := w.Init.Rename[name]; other != "" {
		name = other
	}
	var out strings.Builder
	for word := range strings.SplitSeq(name, "_") {
		out.WriteString(strings.ToUpper(word[:1]) + word[1:])
	}
	return out.String()
}

// timeKey returns the key of a setting that is a duration.
func (w *wireNames) timeKey(name string) string { return w.key(name) + w.Init.UnitSuffix }

// value returns a setting's value as the settings object spells it.
func (w *wireNames) value(configured string) string {
	if other := w.Init.Words[configured]; other != "" {
		return other
	}
	return configured
}

// httpNames is the part of real.json that determines the names in HTTP messages. Golden files contain its JSON form, with
// the field names.
type httpNames struct {
	Slack  float64 `json:"slack_ms"`
	Header struct {
		ID, Class, Key, Deadline, Extras string
	} `json:"h"`
	Paths  struct{ Ready string }
	Member struct {
		Version, Full, List, ID, Addr, Zone, Kind, Cell, State, Weight, Started string
	} `json:"f"`
	States struct{ Ready string }
}

// readJSON reads a file of names from its copy in testdata. The original in sitesDir is a symbolic link, whose target may be
// missing. If the original can be read, the copy must agree with it.
func readJSON[T any](t *testing.T, name string) (names T) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(sitesDir, name))
	switch {
	case err == nil:
		var deployed T
		if err := json.Unmarshal(text, &deployed); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		object, err := json.MarshalIndent(deployed, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		compareGolden(t, "names-"+name, string(object)+"\n")
	case errors.Is(err, fs.ErrNotExist):
		t.Logf("%s can't be read in %s: its copy in testdata is not compared with it", name, sitesDir)
	default:
		t.Fatal(err)
	}
	if text, err = os.ReadFile(filepath.Join("testdata", "names-"+name+".golden")); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &names); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return names
}

// readSite reads a site's TOML file. It supports tables, arrays of tables, and values on one line that are also valid
// JSON. Anything else fails the test.
func readSite(t *testing.T, name string) (site siteFile) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(sitesDir, name))
	if err != nil {
		t.Fatal(err)
	}
	root := map[string]any{}
	table := root
	for number, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#':
		case strings.HasPrefix(line, "[["):
			table = openTable(t, root, strings.Trim(line, "[]"), true)
		case line[0] == '[':
			table = openTable(t, root, strings.Trim(line, "[]"), false)
		default:
			key, value, _ := strings.Cut(line, "=")
			if !json.Valid([]byte(value)) {
				t.Fatalf("%s:%d: the value is not valid JSON", name, number+1)
			}
			table[strings.TrimSpace(key)] = json.RawMessage(value)
		}
	}
	object, err := json.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(object, &site); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return site
}

// openTable returns the table with a dotted name, and creates it if needed. For an array of tables it returns the last
// element; isElement appends a new one first.
func openTable(t *testing.T, root map[string]any, name string, isElement bool) map[string]any {
	t.Helper()
	table := root
	parts := strings.Split(name, ".")
	for i, part := range parts {
		elements, isArray := table[part].([]map[string]any)
		if isElement && i == len(parts)-1 {
			elements, isArray = append(elements, map[string]any{}), true
			table[part] = elements
		}
		if isArray {
			table = elements[len(elements)-1]
			continue
		}
		if table[part] == nil {
			table[part] = map[string]any{}
		}
		inner, isTable := table[part].(map[string]any)
		if !isTable {
			t.Fatalf("[%s]: %s is not a table", name, part)
		}
		table = inner
	}
	return table
}

// Factors from the site files' units to those of the settings.
const (
	microsPerMilli  = 1e3
	microsPerSecond = 1e6
	tokensPerK      = 1e3
)

// maxOpenRequests is the limit of open requests per router, which site files don't contain.
const maxOpenRequests = 1000

// siteSettings returns the settings object of a site's first router.
func siteSettings(t *testing.T, site *siteFile, wire *wireNames, protocol *httpNames) string {
	t.Helper()
	tier := site.Tier[0]
	var kinds []string
	for _, kind := range tier.Kind {
		kinds = append(kinds, kind.Name)
	}
	var memory, tokenAims, promptAims []float64
	for _, engine := range site.Fam.Engine {
		memory = append(memory, engine.Memory[0]*tokensPerK)
	}
	for _, class := range site.Fam.Class {
		tokenAims = append(tokenAims, class.TokenAim*microsPerMilli)
		promptAims = append(promptAims, class.AimPer1000*microsPerMilli)
	}
	var classes []map[string]any
	for _, class := range site.Class {
		classes = append(classes, map[string]any{
			wire.key("name"): class.Name, wire.timeKey("aim"): class.Aim * microsPerMilli, wire.timeKey("deadline"): class.Deadline * microsPerMilli,
			wire.key("worth"): class.Worth, wire.key("late_worth"): class.LateWorth, wire.key("effect"): wire.value(class.Effect), wire.key("stream"): class.Stream,
		})
	}
	object, err := json.Marshal(map[string]any{
		wire.key("balancers"): site.Scale.Balancers[0], wire.key("me"): 0, wire.key("zone"): 0,
		wire.key("zones"): site.Net.Zones, wire.key("kinds"): kinds, wire.key("classes"): classes,
		wire.key("discovery"): wire.value(site.Discovery.Mode), wire.key("report"): map[string]any{wire.key("fields"): tier.Report.Fields},
		wire.key("family_info"): map[string]any{
			wire.key("kind_role"): site.Fam.Role, wire.key("kind_memory_tokens"): memory, wire.timeKey("release"): site.Fam.Release * microsPerMilli,
			wire.key("resume"): site.Fam.Resume, wire.key("writers_read"): site.Fam.WritersRead,
			wire.timeKey("token_aim"): tokenAims, "AimUsPer1000PromptTokens": promptAims,
		},
		wire.key("limits"): map[string]any{
			wire.key("max_attempts"): site.Allow.MaxAttempts, wire.key("max_open"): maxOpenRequests, wire.key("cancel"): site.Allow.Cancel,
			wire.key("probes"): site.Allow.Probes, wire.key("retry_after"): site.Allow.RetryAfter, wire.key("second_copies"): site.Allow.SecondCopies,
			wire.timeKey("max_retry_after"): site.Clients.MaxRetryAfter * microsPerMilli,
			wire.timeKey("conn_idle"):       tier.Conn.Idle * microsPerSecond,
			wire.timeKey("connect_timeout"): tier.Conn.ConnectTimeout * microsPerMilli,
		},
		wire.key("rules"): map[string]any{
			wire.key("cold_from"): tier.Kind[0].ColdFrom[0], wire.timeKey("cold"): tier.Kind[0].ColdFor[0] * microsPerSecond,
			wire.timeKey("drain_grace"): site.Rules.DrainGrace * microsPerMilli, wire.key("fall_multiple"): site.Rules.FallMultiple,
			wire.timeKey("fall"): site.Rules.FallAfter * microsPerMilli, wire.timeKey("answer_slack"): protocol.Slack * microsPerMilli,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(object)
}

// siteEdits returns edits that replace a test request's header names and deadline by those of a site.
func siteEdits(protocol *httpNames, deadline time.Duration) []string {
	header := &protocol.Header
	return []string{
		"X-Call-Id", header.ID, "X-Call-Class", header.Class, "X-Route-Hash", header.Key, "X-Call-Info", header.Extras,
		"X-Budget: 16000m", fmt.Sprintf("%s: %dm", header.Deadline, deadline.Milliseconds()),
	}
}

// siteList replaces the names in a discovery message by those of a site.
func siteList(list string, protocol *httpNames) string {
	member := &protocol.Member
	return strings.NewReplacer(`"revision"`, quoted(member.Version), `"complete"`, quoted(member.Full), `"members"`, quoted(member.List),
		`"id"`, quoted(member.ID), `"host_port"`, quoted(member.Addr), `"locality"`, quoted(member.Zone), `"flavor"`, quoted(member.Kind),
		`"cell"`, quoted(member.Cell), `"phase"`, quoted(member.State), `"size"`, quoted(member.Weight), `"up_since_ms"`, quoted(member.Started),
		`"in_service"`, quoted(protocol.States.Ready)).Replace(list)
}

func quoted(text string) string { return fmt.Sprintf("%q", text) }
