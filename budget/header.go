package budget

import (
	"net/http"

	"github.com/oriolepost/oriolepost/admission"
)

// headerAllowance is the memory of a parsed header that needs no reservation.
const headerAllowance = 12 << 10

// ReserveHeader asks for the memory of a parsed header if it is more than an ordinary one
// takes, and reports whether it was granted. A header of short fields takes many times its
// size.
func (h *Hold) ReserveHeader(parsed http.Header) bool {
	bytes := 0
	for name, values := range parsed {
		bytes += len(name)
		for _, value := range values {
			bytes += admission.FieldBytes + len(value)
		}
	}
	return bytes <= headerAllowance || h.Reserve(int64(bytes), 0, false)
}
