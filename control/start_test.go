package control_test

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/settings"
)

var _ = ginkgo.Describe("start", func() {
	// SIGTERM was not noticed while an instance waited for space on its disk.
	ginkgo.It("ends when the instance is to stop while its disk is full", func(ctx context.Context) {
		stopping, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() {
			_, err := control.Start(ctx, settings.Deployment{Instance: "a", IP: "127.0.7.1"}, control.Options{
				Log: &log.Logger{Handler: discard.New()}, Metrics: metrics.NewSet(), Stop: stopping,
				OpenFolder: func(string, string, string) (*disk.Folder, error) {
					stop()
					return nil, fmt.Errorf("open the folder: %w", syscall.ENOSPC)
				},
			})
			ended <- err
		}()
		gomega.Eventually(ended, 5*time.Second).Should(gomega.Receive(gomega.MatchError(syscall.ENOSPC)))
	}, ginkgo.NodeTimeout(20*time.Second))
})
