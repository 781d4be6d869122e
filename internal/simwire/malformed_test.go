package simwire

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// TestMalformedFramesAreRejected also checks that the error is not io.EOF, which stands for the end of the input.
func TestMalformedFramesAreRejected(t *testing.T) {
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
			t.Errorf("%s: error %v, want one that is not io.EOF", name, err)
		}
	}
}

// FuzzParseBatch checks that each batch that is decoded without an error has the same length when it is encoded
// again.
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
			t.Fatalf("batch of %d bytes encoded again in %d bytes (error %v)", len(frame), len(encoded), err)
		}
	})
}

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
		t.Fatalf("error %#v, want a *RecordError of record 1 at byte %d", err, secondRecord)
	}
	var unknown *UnknownValueError
	if !errors.As(err, &unknown) || unknown.Field != "event code" || unknown.Value != 99 {
		t.Fatalf("error %#v, want an *UnknownValueError of event code 99", err)
	}
	if want := "record 1 at byte 23: unknown event code 99"; err.Error() != want {
		t.Errorf("error %q, want %q", err, want)
	}
}
