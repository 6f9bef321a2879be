package catalog_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/service"
)

func TestCatalog(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "catalog")
}

var _ = script.Describe("catalog", "testdata/*.txt", func() script.Handler {
	catalogState := catalog.New()
	var handle script.Handler
	handle = func(testCase script.Case) string {
		index, id := uint64(testCase.Int("index", 0)), testCase.Args["id"]
		switch testCase.Command {
		case "put":
			d := service.Defaults(testCase.Args["name"])
			d.Version = uint64(testCase.Int("version", 0))
			d.Hosts = testCase.List("hosts")
			return show(catalogState.Apply(index, record.PutDocument{ChangeID: id, Document: d}))
		case "domain":
			return show(catalogState.Apply(index, record.SetDomain{ChangeID: id, Domain: testCase.Args["name"], Out: testCase.Bool("out"), AsOf: uint64(testCase.Int("as_of", 0))}))
		case "server":
			return show(catalogState.Apply(index, record.SetServer{ChangeID: id, Server: testCase.Args["name"], Drained: testCase.Bool("drained")}))
		case "many":
			for i := range testCase.Int("count", 0) {
				catalogState.Apply(index+uint64(i), record.SetServer{ChangeID: fmt.Sprint("many-", i), Server: "s", Drained: i%2 == 0})
			}
			return fmt.Sprintf("stored %d", len(catalogState.Changes))
		case "steps":
			return testCase.RunSteps(handle)
		case "many_domains":
			for i := range testCase.Int("count", 0) {
				catalogState.Apply(index+uint64(i), record.SetDomain{Domain: fmt.Sprint("domain-", i)})
			}
			return fmt.Sprintf("kept %d", len(catalogState.DomainChanges.Index))
		case "restart":
			catalogState = restarted(catalogState, testCase.Bool("former"))
			return ""
		case "services":
			configuration := route.Configuration{Version: index}
			for _, name := range testCase.List("names") {
				configuration.Services = append(configuration.Services, route.Service{Name: name})
			}
			return show(catalogState.Apply(index, record.PutConfiguration{Configuration: configuration}))
		case "enroll", "withdraw":
			return changeUpstream(catalogState, index, testCase)
		case "begin":
			return show(catalogState.Apply(index, record.BeginRollout{AtMS: 1000, Service: testCase.Args["name"], Target: testCase.Args["target"], LengthMS: 12000}))
		case "end":
			return show(catalogState.Apply(index, record.EndRollout{
				Service: testCase.Args["name"], Index: uint64(testCase.Int("begun", 0)), Completed: testCase.Bool("completed"), Reason: testCase.Args["reason"],
			}))
		case "rollout":
			name := testCase.Args["name"]
			return fmt.Sprintf("%+v in use %v", catalogState.Rollouts[name], catalogState.Versions[name].InUse)
		case "show":
			return fmt.Sprintf("index %d, out %v, drained %v, versions %v", catalogState.Index, catalogState.OutDomains, catalogState.DrainedServers, versions(catalogState))
		}
		return "unknown command"
	}
	return handle
})

// restarted returns a catalog as it is read from a snapshot, or from one of the format
// before the indexes of the domains' changes.
func restarted(c *catalog.Catalog, former bool) *catalog.Catalog {
	c = c.Clone()
	if former {
		c.DomainChanges = catalog.DomainChanges{}
	}
	data, err := json.Marshal(c)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(strings.Contains(string(data), "domain_changes")).To(gomega.Equal(!former))
	read := catalog.New()
	gomega.Expect(json.Unmarshal(data, read)).To(gomega.Succeed())
	return read
}

// changeUpstream records an upstream of the service booking, or removes it, and returns the
// versions in use.
func changeUpstream(c *catalog.Catalog, index uint64, testCase script.Case) string {
	id := testCase.Args["name"]
	if testCase.Command == "withdraw" {
		c.Apply(index, record.Withdraw{Upstreams: []string{id}})
	} else {
		u := fleet.Upstream{ID: id, Service: "booking", Version: testCase.Args["version"], StartMS: 1}
		c.Apply(index, record.Enroll{Upstreams: []fleet.Upstream{u}, AtMS: int64(testCase.Int("at", 0))})
	}
	return fmt.Sprintf("in use %v", c.Versions["booking"].InUse)
}

func show(r record.Result) string { return fmt.Sprintf("%T%+v", r, r) }

func versions(c *catalog.Catalog) map[string]uint64 {
	v := map[string]uint64{}
	for name, d := range c.Documents {
		v[name] = d.Version
	}
	return v
}
