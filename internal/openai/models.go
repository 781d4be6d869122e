package openai

import (
	"strconv"

	"github.com/tidwall/gjson"
)

// AppendModels appends the body of the response to GET /v1/models. created is the models' creation
// time in Unix seconds.
func AppendModels(out []byte, models []string, created int64) []byte {
	out = append(out, `{"object":"list","data":`...)
	out = appendArray(out, len(models), func(out []byte, i int) []byte {
		out = append(out, `{"id":`...)
		out = gjson.AppendJSONString(out, models[i])
		out = append(out, `,"object":"model","created":`...)
		out = strconv.AppendInt(out, created, 10)
		return append(out, `,"owned_by":"martenlock"}`...)
	})
	return append(out, '}')
}
