package route_test

import (
	"testing"

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
	configuration := route.Configuration{Version: 1, Services: []route.Service{{Name: "booking"}}}
	return func(c script.Case) string {
		switch c.Command {
		case "route":
			configuration.Routes = append(configuration.Routes, route.Route{
				Host: c.Args["host"], Prefix: c.Args["prefix"], Services: []route.WeightedService{{Service: "booking", Weight: 1}},
			})
			if err := configuration.Check(); err != nil {
				return err.Error()
			}
			return ""
		case "match":
			matched, ok := route.NewTable(configuration).Match(c.Args["host"], c.Args["path"])
			if !ok {
				return "none"
			}
			return matched.Host + " " + matched.Prefix
		}
		return "unknown command"
	}
})
