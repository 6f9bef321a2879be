package route_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/script"
)

func TestRoute(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "route")
}

var _ = script.Describe("route", "testdata/*.txt", func() script.Handler {
	var table *route.Table
	checked := route.Configuration{Version: 1, Services: []route.Service{{Name: "booking"}}}
	return func(c script.Case) string {
		switch c.Command {
		case "configure":
			configuration := route.Configuration{Version: uint64(c.Int("version", 1))}
			for _, prefix := range c.List("prefixes") {
				configuration.Routes = append(configuration.Routes, route.Route{Name: prefix, Host: c.Args["host"], Prefix: prefix, Timeout: time.Second})
			}
			table = route.NewTable(configuration)
			return ""
		case "route":
			checked.Routes = append(checked.Routes, route.Route{
				Host: c.Args["host"], Prefix: c.Args["prefix"], Timeout: time.Second, Services: []route.WeightedService{{Service: "booking", Weight: 1}},
			})
			if err := checked.Check(); err != nil {
				return err.Error()
			}
			return ""
		case "findings":
			return describeFindings(c)
		case "compare":
			return describeDifferences(c)
		case "match":
			matched, ok := route.NewTable(checked).Match(c.Args["host"], c.Args["path"])
			if !ok {
				return "none"
			}
			return matched.Host + " " + matched.Prefix
		case "lookup":
			switch l := table.Lookup(c.Args["host"], c.Args["path"], c.Bool("confirmed")).(type) {
			case route.Found:
				return "found " + l.Route.Name
			case route.Absent:
				return "absent"
			case route.Unconfirmed:
				return "unconfirmed"
			case route.Unconfigured:
				return "unconfigured"
			}
		}
		return "unknown command"
	}
})
