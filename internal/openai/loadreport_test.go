package openai

import (
	"fmt"
	"testing"
)

func TestParseLoadReportReturnsEveryMetricOrNone(t *testing.T) {
	names := []string{"kv_cache_usage_perc", "cpu_utilization"}
	for header, want := range map[string]string{
		"TEXT named_metrics.kv_cache_usage_perc=0.25, cpu_utilization=0.5":          "[0.25 0.5]",
		`JSON {"cpu_utilization":0.5,"named_metrics":{"kv_cache_usage_perc":0.25}}`: "[0.25 0.5]",
		"TEXT cpu_utilization=0.5":                                                    "[]",
		"TEXT kv_cache_usage_perc=x, cpu_utilization=0.5":                             "[]",
		`JSON {"cpu_utilization":"0.5","named_metrics":{"kv_cache_usage_perc":0.25}}`: "[]",
		`JSON {"cpu_utilization":`:                                                    "[]",
		"BIN CgEB":                                                                    "[]",
		"":                                                                            "[]",
	} {
		if got := fmt.Sprint(ParseLoadReport([]byte(header), names)); got != want {
			t.Errorf("%q: %s, want %s", header, got, want)
		}
	}
}
