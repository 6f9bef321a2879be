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
	cat := catalog.New()
	return func(c script.Case) string {
		index, id := uint64(c.Int("index", 0)), c.Args["id"]
		switch c.Command {
		case "put":
			d := service.Defaults(c.Args["name"])
			d.Version = uint64(c.Int("version", 0))
			d.Hosts = c.List("hosts")
			return show(cat.Apply(index, record.PutDocument{ChangeID: id, Document: d}))
		case "domain":
			return show(cat.Apply(index, record.SetDomain{ChangeID: id, Domain: c.Args["name"], Out: c.Bool("out")}))
		case "server":
			return show(cat.Apply(index, record.SetServer{ChangeID: id, Server: c.Args["name"], Drained: c.Bool("drained")}))
		case "many":
			for i := range c.Int("count", 0) {
				cat.Apply(index+uint64(i), record.SetServer{ChangeID: fmt.Sprint("many-", i), Server: "s", Drained: i%2 == 0})
			}
			return fmt.Sprintf("remembered %d", len(cat.Changes))
		case "show":
			return fmt.Sprintf("index %d, out %v, drained %v, versions %v", cat.Index, cat.OutDomains, cat.DrainedServers, versions(cat))
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
