package catalog_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/service"
)

func TestCatalog(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "catalog")
}

var _ = script.Describe("catalog", "testdata/*.txt", func() script.Handler {
	catalogState := catalog.New()
	return func(testCase script.Case) string {
		index, id := uint64(testCase.Int("index", 0)), testCase.Args["id"]
		switch testCase.Command {
		case "put":
			d := service.Defaults(testCase.Args["name"])
			d.Version = uint64(testCase.Int("version", 0))
			d.Hosts = testCase.List("hosts")
			return show(catalogState.Apply(index, record.PutDocument{ChangeID: id, Document: d}))
		case "domain":
			return show(catalogState.Apply(index, record.SetDomain{ChangeID: id, Domain: testCase.Args["name"], Out: testCase.Bool("out")}))
		case "server":
			return show(catalogState.Apply(index, record.SetServer{ChangeID: id, Server: testCase.Args["name"], Drained: testCase.Bool("drained")}))
		case "many":
			for i := range testCase.Int("count", 0) {
				catalogState.Apply(index+uint64(i), record.SetServer{ChangeID: fmt.Sprint("many-", i), Server: "s", Drained: i%2 == 0})
			}
			return fmt.Sprintf("stored %d", len(catalogState.Changes))
		case "show":
			return fmt.Sprintf("index %d, out %v, drained %v, versions %v", catalogState.Index, catalogState.OutDomains, catalogState.DrainedServers, versions(catalogState))
		}
		return "unknown command"
	}
})

func show(r record.Result) string { return fmt.Sprintf("%T%+v", r, r) }

func versions(c *catalog.Catalog) map[string]uint64 {
	v := map[string]uint64{}
	for name, d := range c.Documents {
		v[name] = d.Version
	}
	return v
}
