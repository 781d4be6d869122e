package simwire

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// TestMalformedFramesAreErrors: a malformed frame is an error, and not the end of the input.
func TestMalformedFramesAreErrors(t *testing.T) {
	valid, err := AppendBatch(nil, sampleBatch())
	if err != nil {
		t.Fatal(err)
	}
	withByte := func(offset int, value byte) []byte {
		frame := bytes.Clone(valid)
		frame[offset] = value
		return frame
	}
	for name, frame := range map[string][]byte{
		"short header":     valid[:10],
		"short body":       valid[:len(valid)-1],
		"length too small": withByte(8, 0)[:20],
		"too many records": withByte(12, 200),
		"too few records":  withByte(12, 1),
		"unknown code":     withByte(20, 99),
		"oversized":        withByte(11, 0xff),
	} {
		received, err := ReadFrame(bytes.NewReader(frame))
		if err == nil {
			_, err = ParseBatch(received)
		}
		if err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// FuzzParseBatch checks that an accepted batch is encoded in as many bytes again.
func FuzzParseBatch(f *testing.F) {
	valid, err := AppendBatch(nil, sampleBatch())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, frame []byte) {
		batch, err := ParseBatch(frame)
		if err != nil {
			return
		}
		encoded, err := AppendBatch(nil, batch)
		if err != nil || len(encoded) != len(frame) {
			t.Fatalf("%d bytes became %d, %v", len(frame), len(encoded), err)
		}
	})
}

// TestRecordErrorNamesRecordAndReason: the error of a record gives its position and its cause.
func TestRecordErrorNamesRecordAndReason(t *testing.T) {
	frame, err := AppendBatch(nil, Batch{Records: []Event{{Body: Stop{}}, {Body: Stop{}}}})
	if err != nil {
		t.Fatal(err)
	}
	const secondRecord = 23 // after a header of 20 bytes and a record of 3
	frame[secondRecord] = 99
	_, err = ParseBatch(frame)
	var recordErr *RecordError
	if !errors.As(err, &recordErr) || recordErr.Index != 1 || recordErr.Offset != secondRecord {
		t.Fatalf("%#v", err)
	}
	var unknown *UnknownValueError
	if !errors.As(err, &unknown) || unknown.Field != "event code" || unknown.Value != 99 {
		t.Fatalf("%#v", err)
	}
	if want := "record 1 at byte 23: unknown event code 99"; err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}
