package peer

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
	"github.com/arbutusbank/arbutusbank/internal/quota"
)

// SparesToMessage converts spare tokens to their heartbeat messages.
func SparesToMessage(spares []quota.SpareTokens) []*peerpb.SpareTokens {
	messages := make([]*peerpb.SpareTokens, 0, len(spares))
	for _, spare := range spares {
		messages = append(messages, &peerpb.SpareTokens{
			Workspace:  spare.Workspace,
			Tokens:     spare.Tokens,
			DemandPerS: spare.Demand,
		})
	}
	return messages
}

// SparesFromMessage converts spare tokens from their heartbeat messages.
func SparesFromMessage(messages []*peerpb.SpareTokens) []quota.SpareTokens {
	spares := make([]quota.SpareTokens, 0, len(messages))
	for _, message := range messages {
		spares = append(spares, quota.SpareTokens{
			Workspace: message.GetWorkspace(),
			Tokens:    message.GetTokens(),
			Demand:    message.GetDemandPerS(),
		})
	}
	return spares
}

func requestToMessage(r quota.LoanRequest) *peerpb.LoanRequest {
	return &peerpb.LoanRequest{
		Workspace:   r.Workspace,
		Amount:      r.Amount,
		Taker:       r.Borrower,
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		RemainingMs: r.Remaining.Milliseconds(),
	}
}

func requestFromMessage(m *peerpb.LoanRequest) quota.LoanRequest {
	return quota.LoanRequest{
		Workspace:   m.GetWorkspace(),
		Amount:      m.GetAmount(),
		Borrower:    m.GetTaker(),
		Incarnation: m.GetIncarnation(),
		Sequence:    m.GetSequence(),
		Remaining:   time.Duration(m.GetRemainingMs()) * time.Millisecond,
	}
}

func grantToMessage(g quota.LoanGrant) *peerpb.LoanGrant {
	return &peerpb.LoanGrant{
		Workspace:         g.Workspace,
		Lender:            g.Lender,
		LenderIncarnation: g.LenderIncarnation,
		Taker:             g.Borrower,
		Incarnation:       g.Incarnation,
		Sequence:          g.Sequence,
		Amount:            g.Amount,
		HoldMs:            g.Hold.Milliseconds(),
		Spare:             g.Spare,
	}
}

func grantFromMessage(m *peerpb.LoanGrant) quota.LoanGrant {
	return quota.LoanGrant{
		Workspace:         m.GetWorkspace(),
		Lender:            m.GetLender(),
		LenderIncarnation: m.GetLenderIncarnation(),
		Borrower:          m.GetTaker(),
		Incarnation:       m.GetIncarnation(),
		Sequence:          m.GetSequence(),
		Amount:            m.GetAmount(),
		Hold:              time.Duration(m.GetHoldMs()) * time.Millisecond,
		Spare:             m.GetSpare(),
	}
}

func returnToMessage(r quota.LoanReturn) *peerpb.LoanReturn {
	return &peerpb.LoanReturn{
		Workspace:         r.Workspace,
		Lender:            r.Lender,
		LenderIncarnation: r.LenderIncarnation,
		Taker:             r.Borrower,
		Incarnation:       r.Incarnation,
		Sequence:          r.Sequence,
		Unused:            r.Unused,
		Used:              r.Used,
	}
}

func returnFromMessage(m *peerpb.LoanReturn) quota.LoanReturn {
	return quota.LoanReturn{
		Workspace:         m.GetWorkspace(),
		Lender:            m.GetLender(),
		LenderIncarnation: m.GetLenderIncarnation(),
		Borrower:          m.GetTaker(),
		Incarnation:       m.GetIncarnation(),
		Sequence:          m.GetSequence(),
		Unused:            m.GetUnused(),
		Used:              m.GetUsed(),
	}
}
