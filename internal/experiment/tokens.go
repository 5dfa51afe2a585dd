package experiment

import (
	"cmp"
	"slices"
	"time"
)

// tokenEvent is a number of tokens that an engine processed or generated.
type tokenEvent struct {
	at     time.Duration
	tokens int
}

// tokenEvents returns, by workspace, the prompt tokens at the start of each engine
// run and the generated tokens, in order of time. Runs of unknown requests are
// attributed to workspace "".
func (r *Run) tokenEvents() map[string][]tokenEvent {
	events := map[string][]tokenEvent{}
	for _, record := range r.engines {
		for _, run := range record.Runs {
			workspace := ""
			if o := r.byPrompt[run.PromptHash]; o != nil {
				workspace = o.Arrival.Workspace
			}
			list := append(events[workspace], tokenEvent{r.sinceStart(run.Started), run.PromptTokens})
			for _, batch := range run.Batches {
				list = append(list, tokenEvent{r.sinceStart(batch.At), batch.Tokens})
			}
			events[workspace] = list
		}
	}
	for _, list := range events {
		slices.SortFunc(list, func(a, b tokenEvent) int { return cmp.Compare(a.at, b.at) })
	}
	return events
}
