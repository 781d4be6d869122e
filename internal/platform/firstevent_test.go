package platform

import (
	"bytes"
	"testing"

	"martenlock/internal/http1"
	"martenlock/internal/platform/platformtest"
)

// FuzzFirstEvent: whatever an engine sends, further bytes don't change the state of a first event
// that is complete or invalid.
func FuzzFirstEvent(f *testing.F) {
	f.Add([]byte(platformtest.FirstEvent), 5)
	f.Add([]byte("data: {}\r\n\r\n"), 9)
	f.Add([]byte("data: x\n\n"), 7)
	f.Fuzz(func(t *testing.T, b []byte, partLen int) {
		if partLen < 0 || partLen > len(b) {
			return
		}

		part, all := scanFirstEvent(b[:partLen]), scanFirstEvent(b)

		if part != firstEventIncomplete && part != all {
			t.Errorf("%q is %v, its first %d bytes are %v", b, all, partLen, part)
		}
	})
}

// FuzzEngineResponse: whatever an engine sends, a first event that is found complete begins with the
// data field.
func FuzzEngineResponse(f *testing.F) {
	f.Add([]byte(platformtest.Stream()))
	f.Add([]byte(platformtest.StreamHead + "5\r\ndata:\r\n3\r\n{}\n\r\n1\r\n\n\r\n0\r\n\r\n"))
	limits := &http1.Limits{Line: 8 << 10, Headers: 16 << 10, Fields: 64, Body: 1 << 20}
	f.Fuzz(func(t *testing.T, b []byte) {
		p := http1.NewResponseParser(limits)
		var buffered []byte
		for len(b) > 0 {
			used, kind, data, err := p.Next(b)
			if err != nil || kind == http1.NeedMore || kind == http1.End {
				return
			}
			if kind == http1.Data {
				buffered = append(buffered, data...)
				if state := scanFirstEvent(buffered); state != firstEventIncomplete {
					if state == firstEventComplete && !bytes.HasPrefix(buffered, []byte("data:")) {
						t.Errorf("first event of %q is complete", buffered)
					}
					return
				}
			}
			b = b[used:]
		}
	})
}
