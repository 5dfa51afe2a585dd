package host

import (
	"os"
	"strings"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/settings"
)

// Options configures a host.
type Options struct {
	Settings settings.Settings
	// Credential authenticates this host to upstreams.
	Credential string
	// Bootstrap is the document of configuration version 0, written only if the
	// table service holds no configuration. It may be nil.
	Bootstrap *config.Document
	Logger    logr.Logger
}

// LoadOptions reads a settings file and the files that it names. It returns a
// *settings.FileError that lists all problems.
func LoadOptions(file string) (Options, error) {
	s, err := settings.Load(file)
	if err != nil {
		return Options{}, err
	}
	options, problems := OptionsFromSettings(s)
	if len(problems) > 0 {
		return Options{}, &settings.FileError{File: file, Problems: problems}
	}
	return options, nil
}

// OptionsFromSettings reads the files that the settings name. It returns one
// FieldError for each problem.
func OptionsFromSettings(s settings.Settings) (Options, []problem.FieldError) {
	options := Options{Settings: s, Logger: logr.Discard()}
	var problems []problem.FieldError
	options.Credential, problems = loadCredential(s.UpstreamCredentialFile)
	bootstrap, more := loadBootstrapConfig(s.BootstrapConfig)
	options.Bootstrap = bootstrap
	return options, append(problems, more...)
}

func loadCredential(file string) (string, []problem.FieldError) {
	const pointer = "/upstream_credential_file"
	if file == "" {
		return "", []problem.FieldError{{Pointer: pointer, Reason: "must be set"}}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", []problem.FieldError{{Pointer: pointer, Reason: err.Error()}}
	}
	credential := strings.TrimSpace(string(data))
	if credential == "" || strings.ContainsAny(credential, " \t\r\n") {
		return "", []problem.FieldError{{Pointer: pointer, Reason: "the file must hold one credential without white space"}}
	}
	return credential, nil
}

func loadBootstrapConfig(file string) (*config.Document, []problem.FieldError) {
	if file == "" {
		return nil, nil
	}
	const pointer = "/bootstrap_config"
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, []problem.FieldError{{Pointer: pointer, Reason: err.Error()}}
	}
	document, err := config.Decode(data)
	if err != nil {
		return nil, []problem.FieldError{{Pointer: pointer, Reason: file + ": " + err.Error()}}
	}
	return document, nil
}
