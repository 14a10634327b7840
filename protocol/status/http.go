package status

import "net/http"

var httpStatusByCode = map[Code]int{
	InvalidArgument:    http.StatusBadRequest,
	Unauthenticated:    http.StatusUnauthorized,
	PermissionDenied:   http.StatusForbidden,
	NotFound:           http.StatusNotFound,
	TooLarge:           http.StatusRequestEntityTooLarge,
	HeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	Overloaded:         http.StatusServiceUnavailable,
	DeadlineExceeded:   http.StatusGatewayTimeout,
	Canceled:           499,
	Draining:           http.StatusServiceUnavailable,
	NotReady:           http.StatusServiceUnavailable,
	Shed:               http.StatusServiceUnavailable,
	VersionUnavailable: http.StatusConflict,
	PermitRequired:     http.StatusPreconditionRequired,
	PermitInvalid:      http.StatusForbidden,
	PermitExpired:      http.StatusGone,
	PermitVoid:         http.StatusGone,
	IssuerUnreachable:  http.StatusBadGateway,
	Quarantined:        http.StatusUnprocessableEntity,
	ReplyMismatch:      http.StatusBadGateway,
	ConnectionFailed:   http.StatusBadGateway,
	ConnectionSilent:   http.StatusBadGateway,
	NoReplica:          http.StatusServiceUnavailable,
	RetryBudget:        http.StatusServiceUnavailable,
	RevisionConflict:   http.StatusConflict,
	RevisionTooOld:     http.StatusConflict,
	Unavailable:        http.StatusServiceUnavailable,
	RateLimited:        http.StatusTooManyRequests,
}

// HTTPStatus returns the HTTP status code for c. Codes without a mapping return 500.
func HTTPStatus(c Code) int {
	if s, ok := httpStatusByCode[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}
