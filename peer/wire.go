package peer

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepost/oriolepost/allowance"
	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/slot"
)

// JSON-RPC method names.
const (
	methodReplica         = "replica"
	methodReport          = "report"
	methodPropose         = "propose"
	methodBorrow          = "borrow"
	methodReturn          = "return"
	methodReportNow       = "poke"
	methodIdentify        = "identify"
	methodJoin            = "join"
	methodLeave           = "leave"
	methodStatus          = "status"
	methodConfirm         = "confirm"
	methodAnnounce        = "announce"
	methodRenew           = "renew"
	methodRead            = "read"
	methodWatch           = "watch"
	methodCopy            = "copy"
	methodGroup           = "group"
	methodIncarnation     = "incarnation"
	methodSuspect         = "suspect"
	methodQuarantineProbe = "quarantine_probe"
	methodAllowance       = "allowance"
	methodRollout         = "rollout"
)

// replicaParams is the JSON form of a ReplicaMessage.
type replicaParams struct {
	From    string            `json:"from"`
	To      string            `json:"to"`
	Message jsonform.Envelope `json:"message"`
}

// proposeParams is the JSON form of a ProposeRequest.
type proposeParams struct {
	Command     []byte `json:"command"`
	TraceParent string `json:"trace_parent,omitempty"`
}

// proposeResult is the JSON form of a ProposeResponse.
type proposeResult struct {
	Result jsonform.Envelope `json:"result"`
}

// errorData is the data member of a JSON-RPC error. Leader is the instance of
// the leader, if it is known. Otherwise Members are the instances that may know it.
type errorData struct {
	Leader  string   `json:"leader,omitempty"`
	Members []string `json:"members,omitempty"`
}

// encodeRequest returns the JSON-RPC method and parameters of a request. notify
// is true when the request has no response.
func encodeRequest(request Request) (method string, params any, notify bool, err error) {
	switch request := request.(type) {
	case ReplicaMessage:
		e, err := jsonform.EncodeMessage(request.Message)
		return methodReplica, replicaParams{From: request.From, To: request.To, Message: e}, true, err
	case ReportRequest:
		return methodReport, request.Report, false, nil
	case ProposeRequest:
		data, err := jsonform.EncodeCommand(request.Command)
		return methodPropose, proposeParams{Command: data, TraceParent: request.TraceParent}, false, err
	case BorrowRequest:
		return methodBorrow, request, false, nil
	case ReturnRequest:
		return methodReturn, request, true, nil
	case ReportNowRequest:
		return methodReportNow, request, true, nil
	case IdentifyRequest:
		return methodIdentify, request, false, nil
	case JoinRequest:
		return methodJoin, request, false, nil
	case LeaveRequest:
		return methodLeave, request, false, nil
	case StatusRequest:
		return methodStatus, request, false, nil
	case ConfirmRequest:
		return methodConfirm, request, false, nil
	case AnnounceRequest:
		return methodAnnounce, request, false, nil
	case RenewRequest:
		return methodRenew, request, true, nil
	case ReadRequest:
		return methodRead, request, false, nil
	case IncarnationRequest:
		return methodIncarnation, request, false, nil
	case RolloutRequest:
		return methodRollout, request, false, nil
	case WatchRequest:
		return methodWatch, request, false, nil
	case CopyRequest:
		return methodCopy, request, false, nil
	case GroupNotice:
		return methodGroup, request.Group, true, nil
	case SuspectRequest:
		return methodSuspect, request, false, nil
	case QuarantineProbeRequest:
		return methodQuarantineProbe, request, false, nil
	case AllowanceRequest:
		return methodAllowance, request.Report, false, nil
	}
	return "", nil, false, fmt.Errorf("request %T has no method", request)
}

// decodeRequest decodes a request. An unknown method or invalid parameters give
// a [RefusedError] with CodeMalformed.
func decodeRequest(method string, params json.RawMessage) (Request, error) {
	switch method {
	case methodReplica:
		return decodeReplica(params)
	case methodReport:
		return decode(params, func(r slot.Report) Request { return ReportRequest{Report: r} })
	case methodPropose:
		return decodePropose(params)
	case methodBorrow:
		return decode(params, func(r BorrowRequest) Request { return r })
	case methodReturn:
		return decode(params, func(r ReturnRequest) Request { return r })
	case methodReportNow:
		return ReportNowRequest{}, nil
	case methodIdentify:
		return IdentifyRequest{}, nil
	case methodJoin:
		return decode(params, func(r JoinRequest) Request { return r })
	case methodLeave:
		return decode(params, func(r LeaveRequest) Request { return r })
	case methodStatus:
		return StatusRequest{}, nil
	case methodConfirm:
		return decode(params, func(r ConfirmRequest) Request { return r })
	case methodAnnounce:
		return decode(params, func(r AnnounceRequest) Request { return r })
	case methodRenew:
		return decode(params, func(r RenewRequest) Request { return r })
	case methodRead:
		return decode(params, func(r ReadRequest) Request { return r })
	case methodIncarnation:
		return decode(params, func(r IncarnationRequest) Request { return r })
	case methodRollout:
		return decode(params, func(r RolloutRequest) Request { return r })
	case methodWatch:
		return decode(params, func(r WatchRequest) Request { return r })
	case methodCopy:
		return CopyRequest{}, nil
	case methodGroup:
		return decode(params, func(g Group) Request { return GroupNotice{g} })
	case methodSuspect:
		return decode(params, func(r SuspectRequest) Request { return r })
	case methodQuarantineProbe:
		return decode(params, func(r QuarantineProbeRequest) Request { return r })
	case methodAllowance:
		return decode(params, func(r allowance.Report) Request { return AllowanceRequest{r} })
	}
	return nil, &RefusedError{Code: CodeMalformed, Reason: fmt.Sprintf("method %q is not known", method)}
}

// EncodeView encodes a view as compressed JSON, the form in which it is sent.
func EncodeView(v View) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode view: %w", err)
	}
	return jsonform.Compress(data)
}

// DecodeView decodes a view that EncodeView has encoded.
func DecodeView(data []byte) (v View, err error) {
	if data, err = jsonform.Decompress(data); err == nil {
		err = json.Unmarshal(data, &v)
	}
	if err != nil {
		return View{}, fmt.Errorf("decode view: %w", err)
	}
	return v, nil
}

func decode[T any, S any](params json.RawMessage, convert func(T) S) (S, error) {
	var body T
	if err := json.Unmarshal(params, &body); err != nil {
		var zero S
		return zero, &RefusedError{Code: CodeMalformed, Reason: err.Error()}
	}
	return convert(body), nil
}

func decodeReplica(params json.RawMessage) (Request, error) {
	var p replicaParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, &RefusedError{Code: CodeMalformed, Reason: err.Error()}
	}
	m, err := jsonform.DecodeMessage(p.Message)
	if err != nil {
		return nil, &RefusedError{Code: CodeMalformed, Reason: err.Error()}
	}
	return ReplicaMessage{From: p.From, To: p.To, Message: m}, nil
}

func decodePropose(params json.RawMessage) (Request, error) {
	var p proposeParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, &RefusedError{Code: CodeMalformed, Reason: err.Error()}
	}
	c, err := jsonform.DecodeCommand(p.Command)
	if err != nil {
		return nil, &RefusedError{Code: CodeMalformed, Reason: err.Error()}
	}
	return ProposeRequest{Command: c, TraceParent: p.TraceParent}, nil
}

// encodeResponse returns the value whose JSON is sent as the result.
func encodeResponse(response Response) (any, error) {
	switch response := response.(type) {
	case ProposeResponse:
		e, err := jsonform.EncodeResult(response.Result)
		return proposeResult{Result: e}, err
	case JoinResponse:
		return response.Group, nil
	case AllowanceResponse:
		return response.Reply, nil
	case Nothing, ReportResponse, BorrowResponse, IdentifyResponse, LeaveResponse, ConfirmResponse, StatusResponse, ReadResponse, IncarnationResponse, WatchResponse, CopyResponse, QuarantineProbeResponse, RolloutResponse:
		return response, nil
	}
	return nil, fmt.Errorf("response %T has no form", response)
}

// decodeResponse decodes the response to a request.
func decodeResponse(request Request, result json.RawMessage) (Response, error) {
	switch request.(type) {
	case ReportRequest:
		return decode(result, func(r ReportResponse) Response { return r })
	case ProposeRequest:
		return decodeProposeResult(result)
	case BorrowRequest:
		return decode(result, func(r BorrowResponse) Response { return r })
	case IdentifyRequest:
		return decode(result, func(r IdentifyResponse) Response { return r })
	case StatusRequest:
		return decode(result, func(r StatusResponse) Response { return r })
	case ConfirmRequest:
		return decode(result, func(r ConfirmResponse) Response { return r })
	case ReadRequest:
		return decode(result, func(r ReadResponse) Response { return r })
	case IncarnationRequest:
		return decode(result, func(r IncarnationResponse) Response { return r })
	case RolloutRequest:
		return decode(result, func(r RolloutResponse) Response { return r })
	case WatchRequest:
		return decode(result, func(r WatchResponse) Response { return r })
	case CopyRequest:
		return decode(result, func(r CopyResponse) Response { return r })
	case JoinRequest:
		return decode(result, func(g Group) Response { return JoinResponse{g} })
	case LeaveRequest:
		return decode(result, func(r LeaveResponse) Response { return r })
	case QuarantineProbeRequest:
		return decode(result, func(r QuarantineProbeResponse) Response { return r })
	case AllowanceRequest:
		return decode(result, func(r allowance.Reply) Response { return AllowanceResponse{r} })
	case AnnounceRequest, SuspectRequest, RenewRequest, ReplicaMessage, ReturnRequest, ReportNowRequest, GroupNotice:
		return Nothing{}, nil
	}
	return Nothing{}, nil
}

func decodeProposeResult(data json.RawMessage) (Response, error) {
	var p proposeResult
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	r, err := jsonform.DecodeResult(p.Result)
	if err != nil {
		return nil, err
	}
	return ProposeResponse{Result: r}, nil
}

// encodeError converts the error of a handler into a JSON-RPC error. A RefusedError
// keeps its code, reason, leader and members. Any other error becomes an internal error.
func encodeError(err error) *jsonrpc2.Error {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	out := &jsonrpc2.Error{Code: refused.Code, Message: refused.Reason}
	out.SetError(errorData{Leader: refused.Leader, Members: refused.Members})
	return out
}

// decodeError converts a JSON-RPC error into a RefusedError. Any other error is
// returned unchanged.
func decodeError(err error) error {
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		return err
	}
	var data errorData
	if rpcErr.Data != nil {
		if err := json.Unmarshal(*rpcErr.Data, &data); err != nil {
			return fmt.Errorf("decode error data: %w", err)
		}
	}
	return &RefusedError{Code: rpcErr.Code, Reason: rpcErr.Message, Leader: data.Leader, Members: data.Members}
}
