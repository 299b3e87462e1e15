package objects

import (
	"net/http"
	"strconv"
)

// history returns the number of restorations that a response names, 0 if it names none.
func (t *Transport) history(h http.Header) int64 {
	if t.HistoryHeader == "" {
		return 0
	}
	n, err := strconv.ParseInt(h.Get(t.HistoryHeader), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}
