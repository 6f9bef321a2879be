package faultsoak

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/oriolepost/oriolepost/platform"
	"github.com/oriolepost/oriolepost/settings"
)

// message is a message to the task of a process.
//
//sumtype:decl
type message interface{ message() }

// startMessage starts the process unless it is running. If the process has been
// signaled to stop, the task first waits for its exit. It closes running, unless that is
// nil, when the process runs.
type startMessage struct{ running chan struct{} }

// signalMessage sends a signal to the process. The task does not start a stopped
// process by itself: after SIGTERM or SIGKILL the sender also sends a startMessage.
type signalMessage struct{ signal syscall.Signal }

// wipeMessage kills the process and deletes its data folder.
type wipeMessage struct{}

// seedsMessage rewrites the settings file with these seeds.
type seedsMessage struct{ seeds []string }

// shutdownMessage kills the process, closes done and ends the task.
type shutdownMessage struct{ done chan struct{} }

func (startMessage) message()    {}
func (signalMessage) message()   {}
func (wipeMessage) message()     {}
func (seedsMessage) message()    {}
func (shutdownMessage) message() {}

// process is a task that owns one instance, which runs as a separate process.
type process struct {
	program  string
	folder   string
	settings settings.Deployment
	mailbox  chan message
	observer *observer

	command *exec.Cmd
	exited  chan error
	// stopRequested is true after SIGTERM or SIGKILL was sent, so that an exit is
	// expected.
	stopRequested bool
	// killTimer fires stopTimeout after SIGTERM.
	killTimer <-chan time.Time
	// running is closed at the first output of the process. It is nil when there is no
	// process, and when that is known to run.
	running chan struct{}
	// held are the signals that wait until the process runs.
	held []syscall.Signal
}

const (
	// stopTimeout is how long a process may take to exit after SIGTERM. It is
	// also the grace period in the settings, which the platform would set.
	stopTimeout = 6 * time.Second
	// mailboxLength is the maximum number of messages that wait for the task of a
	// process.
	mailboxLength = 64
	fileMode      = 0o600
)

func startProcess(program, folder string, d settings.Deployment, o *observer) *process {
	p := &process{program: program, folder: folder, settings: d, mailbox: make(chan message, mailboxLength), observer: o}
	go p.run()
	return p
}

func (p *process) run() {
	for {
		select {
		case m := <-p.mailbox:
			if p.handle(m) {
				return
			}
		case err := <-p.exited:
			p.handleExit(err)
		case <-p.running:
			p.sendHeld()
		case <-p.killTimer:
			p.observer.record(Failure{Name: p.settings.Instance, Reason: "did not exit within the stop timeout of 6 s after SIGTERM"})
			p.signal(syscall.SIGKILL)
		}
	}
}

// handle carries out a message and reports whether the task is to end.
func (p *process) handle(m message) bool {
	switch m := m.(type) {
	case startMessage:
		p.start()
		if m.running != nil {
			close(m.running)
		}
	case signalMessage:
		p.signal(m.signal)
	case wipeMessage:
		p.killAndWait()
		if err := os.RemoveAll(p.settings.DataFolder); err != nil {
			p.observer.record(Failure{Name: p.settings.Instance, Reason: err.Error()})
		}
	case seedsMessage:
		p.settings.Seeds = m.seeds
		p.writeSettings()
	case shutdownMessage:
		p.killAndWait()
		close(m.done)
		return true
	}
	return false
}

// signal sends a signal to the process. One that the process handles, SIGHUP or SIGTERM,
// is held until the process runs: between its start and the first instructions of the
// program no handler is registered, and the default of the operating system ends it.
func (p *process) signal(s syscall.Signal) {
	if p.command == nil {
		return
	}
	if s == syscall.SIGTERM {
		p.killTimer = time.After(stopTimeout)
		// A process paused by SIGSTOP handles SIGTERM only after SIGCONT.
		_ = p.command.Process.Signal(syscall.SIGCONT)
	}
	p.stopRequested = p.stopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
	if p.running != nil && (s == syscall.SIGHUP || s == syscall.SIGTERM) {
		p.held = append(p.held, s)
		return
	}
	_ = p.command.Process.Signal(s)
}

// sendHeld sends the signals that were held until the process runs.
func (p *process) sendHeld() {
	for _, s := range p.held {
		_ = p.command.Process.Signal(s)
	}
	p.running, p.held = nil, nil
}

// firstOutput is an output that closes running at the first write. The program registers
// its handlers while its packages are initialized, which is before it can write.
type firstOutput struct {
	io.Writer
	running chan struct{}
	written bool
}

// Write implements io.Writer. One goroutine of the command calls it.
func (o *firstOutput) Write(b []byte) (int, error) {
	if !o.written {
		o.written = true
		close(o.running)
	}
	return o.Writer.Write(b)
}

// killAndWait kills the process, if it is running, and waits for its exit.
func (p *process) killAndWait() {
	if p.command != nil {
		p.signal(syscall.SIGKILL)
		p.handleExit(<-p.exited)
	}
}

func (p *process) handleExit(err error) {
	if !p.stopRequested {
		p.observer.record(Failure{Name: p.settings.Instance, Reason: fmt.Sprintf("exited although it was not stopped: %v", err)})
	}
	p.command, p.exited, p.killTimer, p.stopRequested = nil, nil, nil, false
	p.running, p.held = nil, nil
}

// start writes the settings file and starts the process. It does nothing if the
// process is running, and waits for the exit of one that was signaled to stop.
func (p *process) start() {
	if p.command != nil {
		if !p.stopRequested {
			return
		}
		p.awaitExit()
	}
	p.writeSettings()
	out, err := os.OpenFile(filepath.Join(p.folder, p.settings.Instance+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		p.observer.record(Failure{Name: p.settings.Instance, Reason: err.Error()})
		return
	}
	command := exec.CommandContext(context.Background(), p.program, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath())
	running := make(chan struct{})
	output := &firstOutput{Writer: out, running: running}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		_ = out.Close()
		p.observer.record(Failure{Name: p.settings.Instance, Reason: err.Error()})
		return
	}
	exited := make(chan error, 1)
	go func() {
		err := command.Wait()
		_ = out.Close()
		exited <- err
	}()
	p.command, p.exited, p.running = command, exited, running
	p.observer.record(ProcessStarted{Name: p.settings.Instance, At: p.observer.now()})
	p.settings.FirstStart = false
}

// awaitExit waits for the exit of a process that was signaled to stop.
func (p *process) awaitExit() {
	for p.command != nil {
		select {
		case err := <-p.exited:
			p.handleExit(err)
		case <-p.running:
			p.sendHeld()
		case <-p.killTimer:
			p.observer.record(Failure{Name: p.settings.Instance, Reason: "did not exit within the stop timeout of 6 s after SIGTERM"})
			p.killAndWait()
		}
	}
}

func (p *process) settingsPath() string { return filepath.Join(p.folder, p.settings.Instance+".json") }

func (p *process) writeSettings() {
	data, err := platform.EncodeSettings(p.settings)
	if err == nil {
		err = os.WriteFile(p.settingsPath(), data, fileMode)
	}
	if err != nil {
		p.observer.record(Failure{Name: p.settings.Instance, Reason: err.Error()})
	}
}
