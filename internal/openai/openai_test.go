package openai

import (
	"slices"
	"testing"
)

func TestAPINamesAreThoseOfTheConfiguration(t *testing.T) {
	names := APINames()
	if want := []string{"chat", "completions", "embeddings", "rerank"}; !slices.Equal(names, want) {
		t.Errorf("names %v, want %v", names, want)
	}
	for i, name := range names {
		if api, ok := ParseAPI(name); !ok || int(api) != i || api.String() != name {
			t.Errorf("%s parsed as %v, %v", name, api, ok)
		}
	}
	if api, ok := ParseAPI("smalltalk"); ok {
		t.Errorf("smalltalk parsed as %v", api)
	}
}
