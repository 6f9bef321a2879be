package telemetry_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// metricName matches the name of a metric in the code and on the operators' page.
var metricName = regexp.MustCompile(`oriolepost_[a-z_]+[a-z]`)

// metricNames returns the sorted names of metrics in the files, each once.
func metricNames(files ...string) []string {
	var names []string
	for _, file := range files {
		data, err := os.ReadFile(file)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		names = append(names, metricName.FindAllString(string(data), -1)...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

var _ = ginkgo.Describe("metrics:", func() {
	ginkgo.It("none is missing on the operators' page or only there", func() {
		var sources []string
		err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
			if err == nil && d.IsDir() && (d.Name() == ".git" || d.Name() == "target" || d.Name() == "journal") {
				return fs.SkipDir
			}
			if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				sources = append(sources, path)
			}
			return err
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(metricNames(sources...)).To(gomega.Equal(metricNames("../docs/OPERATIONS.md")))
	})
})
