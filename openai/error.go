package openai

// This file defines error responses.

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorObject `json:"error"`
}

// ErrorObject describes an error to a caller.
type ErrorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}
