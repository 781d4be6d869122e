package openai

import (
	"bytes"
	"io"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"
)

// Form adds all but the inputs that decides an embeddings call's answer: calls of one form
// may be computed together.
func (c *Call) Form(h io.Writer) {
	name := c.members[c.listMember()].name
	for _, m := range c.members {
		if m.name != "user" && m.name != name {
			_, _ = h.Write(m.raw)
			_, _ = h.Write([]byte{0})
		}
	}
}

// Join returns the call of all items of calls of one form; who its users are is not told.
func (c *Call) Join(items [][]byte, tokens float64) *Call {
	j := c.Part(items, tokens)
	j.members = slices.DeleteFunc(j.members, func(m member) bool { return m.name == "user" })
	j.User, j.CacheKey = "", ""
	return j
}

// Piece is what an answer holds for one input: its member "embedding" as it stands.
type Piece []byte

// Pieces takes the embeddings of a checked answer in the order of its inputs, and its usage
// shared out to them by their tokens: whole numbers that sum to what the engine said.
func (c *Call) Pieces(body []byte, tokens []float64) (pieces []Piece, usage []int64) {
	pieces = make([]Piece, c.Count)
	gjson.GetBytes(body, "data").ForEach(func(_, v gjson.Result) bool {
		if i := int(v.Get("index").Int()); i >= 0 && i < len(pieces) {
			pieces[i] = Piece(v.Get("embedding").Raw)
		}
		return true
	})
	return pieces, shares(gjson.GetBytes(body, "usage.prompt_tokens").Int(), tokens)
}

// shares splits a whole number by weights: rounded at each running sum, so that the shares
// sum to it and none is off by one or more.
func shares(total int64, weights []float64) []int64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	list, given, run := make([]int64, len(weights)), int64(0), 0.0
	for i, w := range weights {
		run += w
		upto := total
		if i < len(weights)-1 && sum > 0 {
			upto = min(int64(float64(total)*run/sum+0.5), total)
		}
		list[i], given = upto-given, upto
	}
	return list
}

// Assemble makes an embeddings answer of pieces. Members other than data and usage are those
// of like, an answer to the same form.
func Assemble(like []byte, pieces []Piece, usage int64) []byte {
	size := 200
	for _, p := range pieces {
		size += len(p) + 60
	}
	out := append(make([]byte, 0, size), '{')
	gjson.ParseBytes(like).ForEach(func(key, v gjson.Result) bool {
		if len(out) > 1 {
			out = append(out, ',')
		}
		out = append(append(out, key.Raw...), ':')
		switch key.Str {
		case "data":
			out = append(out, '[')
			for i, p := range pieces {
				if i > 0 {
					out = append(out, ',')
				}
				out = append(out, `{"object":"embedding","index":`...)
				out = strconv.AppendInt(out, int64(i), 10)
				out = append(append(append(out, `,"embedding":`...), p...), '}')
			}
			out = append(out, ']')
		case "usage":
			out = append(out, `{"prompt_tokens":`...)
			out = strconv.AppendInt(out, usage, 10)
			out = append(out, `,"total_tokens":`...)
			out = append(strconv.AppendInt(out, usage, 10), '}')
		default:
			out = append(out, v.Raw...)
		}
		return true
	})
	return append(out, '}')
}

// Frame is an answer without its embeddings, for Assemble to be like.
func Frame(body []byte) []byte { return bytes.Clone(Assemble(body, nil, 0)) }
