package allowance_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/oriolepost/oriolepost/allowance"
)

// BenchmarkOwner has all entries want more retries of a service than are left, which is the
// most that they report. It reports the reports and the bytes of both directions for each
// second of the play.
func BenchmarkOwner(b *testing.B) {
	for _, entries := range []int{132, 468, 1000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			now := time.Unix(1000, 0)
			o := allowance.NewOwner(now.Add(-time.Hour), now.Add(-time.Hour), "1", func(string) (allowance.Limit, bool) {
				return allowance.Window{Ratio: 0.2, Length: 10 * time.Second, Slack: 602}, true
			})
			holders := make([]*allowance.Holder, entries)
			for i := range holders {
				holders[i] = allowance.NewHolder(fmt.Sprintf("palermo-%d/%d", i, i), 10*time.Second)
			}
			reports, bytes, seconds, spent := 0, 0, 0.0, time.Duration(0)
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				seconds += 0.01
				if now.UnixMilli()%500 == 0 {
					o.Prune(now, 30*time.Second)
				}
				for _, h := range holders {
					h.Count(now, "retries/booking")
					h.Take(now, "retries/booking", allowance.Urgent{})
					report, due := h.Report(now)
					if !due {
						continue
					}
					began := time.Now()
					reply := o.Handle(now, report)
					spent += time.Since(began)
					h.Answer(now, reply)
					reports++
					if reports%64 == 0 {
						question, _ := json.Marshal(report)
						answer, _ := json.Marshal(reply)
						bytes += 64 * (len(question) + len(answer))
					}
				}
			}
			b.ReportMetric(float64(reports)/seconds, "reports/s")
			b.ReportMetric(float64(bytes)/seconds, "bytes/s")
			b.ReportMetric(float64(spent.Nanoseconds())/float64(max(1, reports)), "ns/report")
			b.ReportMetric(0, "ns/op")
		})
	}
}
