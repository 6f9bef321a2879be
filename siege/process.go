package siege

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/oriolepost/oriolepost/platform"
	"github.com/oriolepost/oriolepost/settings"
)

// order is what a process's task is told.
//
//sumtype:decl
type order interface{ order() }

// startOrder starts the process, if it does not run.
type startOrder struct{}

// signalOrder sends a signal. A stop or a kill is followed by a start.
type signalOrder struct{ signal syscall.Signal }

// wipeOrder kills the process and empties its data folder.
type wipeOrder struct{}

// seedsOrder rewrites the settings file with other seeds.
type seedsOrder struct{ seeds []string }

// haltOrder ends the process for good and closes done.
type haltOrder struct{ done chan struct{} }

func (startOrder) order()  {}
func (signalOrder) order() {}
func (wipeOrder) order()   {}
func (seedsOrder) order()  {}
func (haltOrder) order()   {}

// process is a task that owns one instance as a separate process.
type process struct {
	program  string
	folder   string
	settings settings.Deployment
	orders   chan order
	witness  *witness

	command *exec.Cmd
	exited  chan error
	// ending is true when the process was told to end.
	ending bool
	killAt <-chan time.Time
}

const (
	// stopTime is how long a process has to stop after SIGTERM, as the
	// platform gives it.
	stopTime = 6 * time.Second
	// orderQueue bounds the orders that wait for a process's task.
	orderQueue = 64
	filePerm   = 0o600
)

func startProcess(program, folder string, d settings.Deployment, w *witness) *process {
	p := &process{program: program, folder: folder, settings: d, orders: make(chan order, orderQueue), witness: w}
	go p.run()
	return p
}

func (p *process) run() {
	for {
		select {
		case o := <-p.orders:
			if p.obey(o) {
				return
			}
		case err := <-p.exited:
			p.ended(err)
		case <-p.killAt:
			p.witness.tell(Exited{Name: p.settings.Instance, Reason: "outlasted the time to stop"})
			p.signal(syscall.SIGKILL)
		}
	}
}

// obey does what an order says, and reports whether it was the last.
func (p *process) obey(o order) bool {
	switch o := o.(type) {
	case startOrder:
		p.start()
	case signalOrder:
		p.signal(o.signal)
	case wipeOrder:
		p.end()
		if err := os.RemoveAll(p.settings.DataFolder); err != nil {
			p.witness.tell(Exited{Name: p.settings.Instance, Reason: err.Error()})
		}
	case seedsOrder:
		p.settings.Seeds = o.seeds
		p.writeSettings()
	case haltOrder:
		p.end()
		close(o.done)
		return true
	}
	return false
}

func (p *process) signal(s syscall.Signal) {
	if p.command == nil {
		return
	}
	if s == syscall.SIGTERM {
		p.killAt = time.After(stopTime)
		// A process that stands still can't stop.
		_ = p.command.Process.Signal(syscall.SIGCONT)
	}
	p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.command.Process.Signal(s)
}

// end kills the process and waits for its end.
func (p *process) end() {
	if p.command != nil {
		p.signal(syscall.SIGKILL)
		p.ended(<-p.exited)
	}
}

func (p *process) ended(err error) {
	if !p.ending {
		p.witness.tell(Exited{Name: p.settings.Instance, Reason: fmt.Sprintf("ended by itself: %v", err)})
	}
	p.command, p.exited, p.killAt, p.ending = nil, nil, nil, false
}

// start starts the process. One that is ending is waited for.
func (p *process) start() {
	if p.command != nil {
		if !p.ending {
			return
		}
		select {
		case err := <-p.exited:
			p.ended(err)
		case <-p.killAt:
			p.witness.tell(Exited{Name: p.settings.Instance, Reason: "outlasted the time to stop"})
			p.end()
		}
	}
	p.writeSettings()
	out, err := os.OpenFile(filepath.Join(p.folder, p.settings.Instance+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
	if err != nil {
		p.witness.tell(Exited{Name: p.settings.Instance, Reason: err.Error()})
		return
	}
	defer func() { _ = out.Close() }()
	c := exec.CommandContext(context.Background(), p.program, "serve")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsFile())
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		p.witness.tell(Exited{Name: p.settings.Instance, Reason: err.Error()})
		return
	}
	exited := make(chan error, 1)
	go func() { exited <- c.Wait() }()
	p.command, p.exited = c, exited
	p.settings.FirstStart = false
}

func (p *process) settingsFile() string { return filepath.Join(p.folder, p.settings.Instance+".json") }

func (p *process) writeSettings() {
	data, err := platform.EncodeSettings(p.settings)
	if err == nil {
		err = os.WriteFile(p.settingsFile(), data, filePerm)
	}
	if err != nil {
		p.witness.tell(Exited{Name: p.settings.Instance, Reason: err.Error()})
	}
}
