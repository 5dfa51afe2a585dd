package docs

import (
	"bytes"
	"io"
	"regexp"
	"strings"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/ctl"
	"github.com/arbutusbank/arbutusbank/internal/server"
)

var (
	commandPattern = regexp.MustCompile(`(?:^|[\s/(])(arbutusctl|arbutusbank) ([a-z]+)((?: [^|>&\n]*)?)`)
	flagPattern    = regexp.MustCompile(`--[a-z-]+`)
	commandGroups  = map[string]bool{"key": true, "standin": true}
)

// commandLines returns the command lines in the code blocks of a page. Lines that
// end with a backslash are joined with the next one.
func commandLines(page string) []string {
	var lines []string
	inBlock := false
	for line := range strings.Lines(strings.ReplaceAll(page, "\\\n", " ")) {
		if strings.HasPrefix(strings.TrimSpace(line), "```") {
			inBlock = !inBlock
			continue
		}
		if inBlock && !strings.HasPrefix(strings.TrimSpace(line), "#") {
			lines = append(lines, line)
		}
	}
	return lines
}

// helpText returns the help text of a command and whether the command exists.
func helpText(program string, command []string) (string, bool) {
	run := map[string]func([]string, io.Writer, io.Writer) int{"arbutusctl": ctl.Run, "arbutusbank": server.Run}[program]
	var out bytes.Buffer
	code := run(append(command, "--help"), &out, &out)
	usage := program + " " + strings.Join(command, " ")
	return out.String(), code == 0 && strings.Contains(out.String(), "\n  "+usage)
}

// Guards against pages that mention a command or a flag that does not exist.
func TestCommandsExist(t *testing.T) {
	count := 0
	for _, page := range pages(t) {
		for _, line := range commandLines(readFile(t, page)) {
			for _, match := range commandPattern.FindAllStringSubmatch(line, -1) {
				count++
				checkCommand(t, page, match[1], match[2], match[3])
			}
		}
	}
	if count == 0 {
		t.Error("no command found in any page")
	}
}

func checkCommand(t *testing.T, page, program, name, arguments string) {
	t.Helper()
	command := []string{name}
	if fields := strings.Fields(arguments); commandGroups[name] && len(fields) > 0 {
		command = append(command, fields[0])
	}
	text, ok := helpText(program, command)
	if !ok {
		t.Errorf("%s: command %s %s does not exist", page, program, strings.Join(command, " "))
		return
	}
	for _, flag := range flagPattern.FindAllString(arguments, -1) {
		if !strings.Contains(text, flag) {
			t.Errorf("%s: %s %s has no flag %s", page, program, strings.Join(command, " "), flag)
		}
	}
}
