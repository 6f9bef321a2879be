package terminal_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/terminal"
)

func TestTerminal(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "terminal")
}

// A case writes its input to a file and runs its command line; FILE in the command
// line is replaced by the file's name, and CONTROL by the address of a server that sends
// testdata/checkconfig/r7.json as the configuration in force. The expected text is standard output,
// standard error and the exit status.
var _ = script.Describe("command line", "testdata/*.txt", func() script.Handler {
	folder, err := os.MkdirTemp("", "oriolepost-terminal-")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { gomega.Expect(os.RemoveAll(folder)).To(gomega.Succeed()) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/Config.Read", func(w http.ResponseWriter, r *http.Request) {
		http.ServeFile(w, r, "testdata/checkconfig/r7.json")
	})
	control := httptest.NewServer(mux)
	ginkgo.DeferCleanup(control.Close)
	return func(c script.Case) string {
		file := filepath.Join(folder, "file.json")
		gomega.Expect(os.WriteFile(file, []byte(c.Input), 0o600)).To(gomega.Succeed())
		args := strings.Fields(c.Line)
		for i := range args {
			args[i] = strings.ReplaceAll(args[i], "FILE", file)
			args[i] = strings.ReplaceAll(args[i], "CONTROL", control.Listener.Addr().String())
		}
		var out, errs bytes.Buffer
		status := terminal.Main(args, &out, &errs)
		text := strings.ReplaceAll(out.String()+errs.String(), file, "FILE")
		return text + "exit " + strconv.Itoa(status)
	}
})
