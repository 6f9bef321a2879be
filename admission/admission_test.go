package admission_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/admission"
	"github.com/oriolepost/oriolepost/script"
)

func TestAdmission(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "admission")
}

// replay is a budget and the current time of a test file.
type replay struct {
	budget *admission.Budget
	now    time.Time
}

var _ = script.Describe("admission", "testdata/*.txt", func() script.Handler {
	r := &replay{budget: admission.NewBudget(admission.Limits{}), now: time.UnixMilli(0)}
	return r.run
})

func (r *replay) run(c script.Case) string {
	r.now = r.now.Add(time.Duration(c.Int("after", 0)) * time.Millisecond)
	id := admission.HoldID(c.Int("hold", 0))
	switch c.Command {
	case "limits":
		l := admission.LimitsOf(c.Int("memory_mb", 0), c.Int("max_fds", 0))
		r.budget.Limits = l
		return fmt.Sprintf("%+v", l)
	case "budget":
		r.budget = admission.NewBudget(admission.Limits{Bytes: int64(c.Int("bytes", 0)), Pipelined: c.Int("pipelined", 0)})
		return ""
	case "reserve":
		return r.crowd(admission.Reserve{Hold: id, Bytes: int64(c.Int("bytes", 0)), Descriptors: c.Int("fds", 0), Arriving: c.Bool("arriving")}, c.Int("times", 1))
	case "arrived":
		return r.step(admission.Arrived{Hold: id})
	case "release":
		return r.step(admission.Release{Hold: id})
	case "victims":
		return r.victims(c)
	}
	return "unknown command " + c.Command
}

func (r *replay) step(e admission.Event) string {
	lines := []string{}
	for _, effect := range r.budget.Step(r.now, e) {
		lines = append(lines, strings.TrimPrefix(fmt.Sprintf("%T %+v", effect, effect), "admission."))
	}
	state := fmt.Sprintf("bytes=%d fds=%d", r.budget.Bytes, r.budget.Descriptors)
	if r.budget.UsedUp {
		state += " used up"
	}
	return strings.Join(append(lines, state), "\n")
}

// crowd makes a reservation for a number of holds with consecutive IDs, and returns the
// number of each effect, or the effects themselves for one hold.
func (r *replay) crowd(reserve admission.Reserve, times int) string {
	if times == 1 {
		return r.step(reserve)
	}
	granted, refused, evicted := 0, 0, 0
	for range times {
		for _, e := range r.budget.Step(r.now, reserve) {
			switch e.(type) {
			case admission.Granted:
				granted++
			case admission.Refused:
				refused++
			case admission.Evict:
				evicted++
			}
		}
		reserve.Hold++
	}
	return fmt.Sprintf("granted=%d refused=%d evicted=%d bytes=%d", granted, refused, evicted, r.budget.Bytes)
}

// victims reads connections as activity and age in milliseconds.
func (r *replay) victims(c script.Case) string {
	activities := map[string]admission.Activity{"idle": admission.Idle, "reading": admission.Reading, "serving": admission.Serving}
	var conns []admission.Conn
	for i, line := range strings.Split(strings.TrimSpace(c.Input), "\n") {
		var name string
		var age int
		_, err := fmt.Sscan(line, &name, &age)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		conns = append(conns, admission.Conn{Index: i, Activity: activities[name], Since: r.now.Add(-time.Duration(age) * time.Millisecond)})
	}
	var out []string
	for _, v := range admission.Victims(r.now, conns, c.Int("count", 1)) {
		out = append(out, fmt.Sprint(v.Index))
	}
	return strings.Join(out, " ")
}
