package harness

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
)

// Process is a child process of the harness. Its output is written to files in the deployment's folder.
type Process struct {
	name string
	dir  string
	path string

	mu   sync.Mutex
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	runs int
}

func newProcess(dir, name, path string, args ...string) *Process {
	return &Process{dir: dir, name: name, path: path, args: args}
}

// Start starts the process. It must not be running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs++
	out, err := os.Create(p.outputPath())
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	defer out.Close()
	errFile, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	defer errFile.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Dir = p.dir
	cmd.Stdout, cmd.Stderr = out, errFile
	// The kernel kills the child if the harness exits without calling Close.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go waitForExit(cmd, done)
	return nil
}

func waitForExit(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait() // the exit status is available from ExitCode
	close(done)
}

// outputPath returns the path of the file that receives the standard output of the current run.
func (p *Process) outputPath() string {
	return filepath.Join(p.dir, fmt.Sprintf("%s.%d.out", p.name, p.runs))
}

func (p *Process) logPath() string { return filepath.Join(p.dir, p.name+".log") }

// PID returns the process ID of the most recent run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Running reports whether the process was started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process. It returns no error if the process has already exited.
func (p *Process) Signal(s os.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	if err := cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Wait(context.Background())
}

// freezeTimeout limits the wait until all threads of a process have stopped after SIGSTOP.
const freezeTimeout = 5 * time.Second

// Freeze freezes the process (SIGSTOP) and waits until all of its threads have stopped. The signal alone is
// asynchronous: threads on other cores keep running for a moment and could still answer a request.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), freezeTimeout)
	defer cancel()
	for {
		frozen, err := allThreadsStopped(p.PID())
		if frozen || err != nil {
			return err
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return fmt.Errorf("%s is still running after SIGSTOP: %w", p.name, err)
		}
	}
}

// allThreadsStopped reports whether all threads of a process have the state T (stopped) in /proc.
func allThreadsStopped(pid int) (bool, error) {
	threads, err := procfs.AllThreads(pid)
	if err != nil {
		return false, fmt.Errorf("read the threads of process %d: %w", pid, err)
	}
	for _, t := range threads {
		stat, err := t.Stat()
		if err != nil {
			return false, fmt.Errorf("read the state of process %d: %w", pid, err)
		}
		if stat.State != "T" {
			return false, nil
		}
	}
	return true, nil
}

// Resume continues a frozen process (SIGCONT).
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Drain asks the process to shut down gracefully (SIGTERM) and returns without waiting for its exit.
func (p *Process) Drain() error { return p.Signal(syscall.SIGTERM) }

// Wait waits until the process has exited. It does not report the exit status.
func (p *Process) Wait(ctx context.Context) error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s has not exited: %w", p.name, ctx.Err())
	}
}

// ExitCode returns the exit code of a process, or -1 if a signal terminated it. Call it only after Wait has
// returned nil.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// Log returns the standard error of the process over all of its runs, or the error text if the file cannot be read.
func (p *Process) Log() string {
	b, err := os.ReadFile(p.logPath())
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// firstLine waits for and returns the first line of the standard output of the current run.
func (p *Process) firstLine(ctx context.Context) (string, error) {
	for {
		b, err := os.ReadFile(p.outputPath())
		if err != nil {
			return "", fmt.Errorf("read the output of %s: %w", p.name, err)
		}
		for i, c := range b {
			if c == '\n' {
				return string(b[:i]), nil
			}
		}
		if !p.Running() {
			return "", fmt.Errorf("%s exited before it was ready: %s", p.name, lastBytes(p.Log()))
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return "", fmt.Errorf("wait for the output of %s: %w", p.name, err)
		}
	}
}

const (
	pollInterval = 10 * time.Millisecond
	// maxQuotedBytes limits the part of a log or response that an error message quotes.
	maxQuotedBytes = 2000
)

// lastBytes returns at most the last maxQuotedBytes bytes of s.
func lastBytes(s string) string {
	if len(s) > maxQuotedBytes {
		return s[len(s)-maxQuotedBytes:]
	}
	return s
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
