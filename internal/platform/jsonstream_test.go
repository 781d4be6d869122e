package platform

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// scanPieces passes a text to a stream in pieces that end at these offsets. It returns the objects
// without white space, and "-" for each blank line.
func scanPieces(stream *jsonStream, text string, ends ...int) (elements []string, isValid bool) {
	start := 0
	for _, end := range append(ends, len(text)) {
		for piece := []byte(text[start:end]); len(piece) > 0; {
			element := stream.next(piece)
			switch element.kind {
			case jsonInvalid:
				return elements, false
			case jsonObject:
				var value any
				if err := json.Unmarshal(element.object, &value); err != nil {
					return elements, false
				}
				elements = append(elements, strings.ReplaceAll(strings.Join(strings.Fields(string(element.object)), ""), "\n", ""))
			case jsonBlankLine:
				elements = append(elements, "-")
			case jsonIncomplete:
			}
			piece = piece[element.length:]
		}
		start = end
	}
	return elements, true
}

// TestJSONStreamFindsObjectsInAnyLayoutAndPieces: objects are found whatever their white space and
// wherever two cuts split the text, and malformed or oversized objects are reported.
func TestJSONStreamFindsObjectsInAnyLayoutAndPieces(t *testing.T) {
	text := "{\"a\":[{\"b\":\"x}]\\\\\\\"{\"}],\r\n \"c\": {\n\t\"d\": 1\n}\n}\n\n \r\n{\"e\":2}{\n}"
	want := "{\"a\":[{\"b\":\"x}]\\\\\\\"{\"}],\"c\":{\"d\":1}} - - - {\"e\":2} {}"
	for i := 0; i <= len(text); i++ {
		for j := i; j <= len(text); j++ {
			if got, isValid := scanPieces(&jsonStream{maxObjectBytes: 1000}, text, i, j); !isValid || strings.Join(got, " ") != want {
				t.Fatalf("cut at %d and %d: valid %v, elements %q, want %s", i, j, isValid, got, want)
			}
		}
	}
	for _, bad := range []string{"no JSON", "[1]", "null", "}", strings.Repeat("{\"a\":1}", 10) + "x", `{"a":"` + strings.Repeat("b", 2000), `{"a":"` + strings.Repeat("b", 1000) + `"}`} {
		if _, isValid := scanPieces(&jsonStream{maxObjectBytes: 1000}, bad, len(bad)/2); isValid {
			t.Errorf("%.30q was accepted", bad)
		}
	}
}

// FuzzJSONStream: the objects of a text do not depend on the pieces in which it arrives.
func FuzzJSONStream(f *testing.F) {
	f.Add([]byte("{\"a\":[]}\n\n{\n\"b\": \"}\"\n}"), 5)
	f.Fuzz(func(t *testing.T, b []byte, offset int) {
		offset = min(max(offset, 0), len(b))

		uncut, uncutIsValid := scanPieces(&jsonStream{maxObjectBytes: 100}, string(b))
		cut, cutIsValid := scanPieces(&jsonStream{maxObjectBytes: 100}, string(b), offset)

		if uncutIsValid != cutIsValid || uncutIsValid && fmt.Sprint(uncut) != fmt.Sprint(cut) {
			t.Errorf("uncut: valid %v, elements %q; cut at %d: valid %v, elements %q", uncutIsValid, uncut, offset, cutIsValid, cut)
		}
	})
}
