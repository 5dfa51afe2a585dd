package caller

import (
	"encoding/json"
	"slices"

	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// modelList is the response to /v1/models in the OpenAI format.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models and adapters that the workspace may use.
func (rs *requestState) serveModels() *problem.Error {
	if refusal := rs.authenticate(); refusal != nil {
		return refusal
	}
	body, err := json.Marshal(modelList{Object: "list", Data: rs.modelInfos()})
	if err != nil {
		return problem.New(problem.Internal, "the list could not be encoded: %v", err)
	}
	rs.w.Header().Set("Content-Type", "application/json")
	rs.responseStarted = true
	_, _ = rs.w.Write(body) // a failed write means that the caller has disconnected
	return nil
}

// modelInfos returns the models and adapters that the workspace may use, sorted by
// name.
func (rs *requestState) modelInfos() []modelInfo {
	document := rs.snapshot.Document
	workspace := rs.workspace()
	names := make([]string, 0, len(document.Models)+len(document.Adapters))
	for name := range document.Models {
		if workspace.MayUseModel(name) {
			names = append(names, name)
		}
	}
	for name, adapter := range document.Adapters {
		if workspace.MayUseModel(adapter.Model) {
			names = append(names, adapter.Model+":"+name)
		}
	}
	slices.Sort(names)
	infos := make([]modelInfo, 0, len(names))
	for _, name := range names {
		infos = append(infos, modelInfo{ID: name, Object: "model", OwnedBy: document.Deployment})
	}
	return infos
}
