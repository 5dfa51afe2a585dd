package loadgen

import (
	"fmt"
	"os"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/strictjson"
)

// File is a load file: JSON with comments.
type File struct {
	Target FileTarget `json:"target"`
	Load   Spec       `json:"load"`
}

// FileTarget lists the hosts, models and workspaces that a load file addresses.
type FileTarget struct {
	Hosts      []string                 `json:"hosts"` // "IP:port"
	Models     []string                 `json:"models"`
	Workspaces map[string]FileWorkspace `json:"workspaces"`
}

// FileWorkspace holds the credentials and token rate of one workspace in a load
// file.
type FileWorkspace struct {
	Key            string  `json:"key"` // API key in plain text
	RateTokensPerS float64 `json:"rate_tokens_per_s"`
}

// Target converts t to the form that Plan and Runner take.
func (t FileTarget) Target() *Target {
	target := &Target{Hosts: t.Hosts, Models: t.Models, Workspaces: map[string]Workspace{}}
	for name, workspace := range t.Workspaces {
		target.Workspaces[name] = Workspace(workspace)
	}
	return target
}

// FileError reports the validation errors of one load file.
type FileError struct {
	File     string
	Problems []problem.FieldError
}

// Error implements error. It returns one line per problem.
func (e *FileError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", e.File, p.Pointer, p.Reason))
	}
	return strings.Join(lines, "\n")
}

// ReadFile reads a load file and rejects unknown fields. Errors are *FileError.
func ReadFile(name string) (*File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &FileError{File: name, Problems: []problem.FieldError{{Reason: err.Error()}}}
	}
	file := &File{}
	if problems := strictjson.Decode(data, file); len(problems) > 0 {
		return nil, &FileError{File: name, Problems: problems}
	}
	return file, nil
}
