// Package ths3 is the object store over the S3 API.
package ths3

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

// MaxObjectSize is the largest object that is read or written, in bytes. A
// snapshot holds four tables of at most 390 KB each.
const MaxObjectSize = 4 << 20

// Settings says where the bucket is and with which credentials to reach it.
type Settings struct {
	Endpoint  string // URL; empty means the region's own
	Bucket    string
	Region    string
	AccessKey string
	Secret    string
}

// Objects is a thplatform.ObjectStore. Create one with New.
type Objects struct {
	client *s3.Client
	bucket *string
}

var _ thplatform.ObjectStore = (*Objects)(nil)

// New returns the bucket that the settings name. It opens no connection.
func New(s Settings) *Objects {
	o := s3.Options{
		Region:       s.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(s.AccessKey, s.Secret, ""),
		HTTPClient:   thplatform.NewHTTPClient(MaxObjectSize),
		UsePathStyle: true,
		// The guard decides about retries, since it knows the retry budget.
		Retryer: aws.NopRetryer{},
		// Digests of the configuration prove the content, and other
		// implementations of the API lack the SDK's trailing checksums.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	}
	if s.Endpoint != "" {
		o.BaseEndpoint = aws.String(s.Endpoint)
	}
	return &Objects{client: s3.New(o), bucket: aws.String(s.Bucket)}
}

// Get reads an object; see thplatform.ObjectStore.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, trace := thplatform.WithTrace(ctx)
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: o.bucket, Key: aws.String(name)})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, therror.Wrap(therror.Absent, err, "object %s", name)
	}
	if err != nil {
		return nil, trace.WrapError(err, false, "read object "+name)
	}
	defer func() { _ = out.Body.Close() }()
	// The transport bounds the size.
	body, err := io.ReadAll(out.Body)
	if err != nil {
		return nil, trace.WrapError(err, false, "read object "+name)
	}
	return body, nil
}

// Put writes an object; see thplatform.ObjectStore.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	if len(body) > MaxObjectSize {
		return therror.New(therror.Refused, "object %s has %d bytes, at most %d are allowed", name, len(body), MaxObjectSize)
	}
	ctx, trace := thplatform.WithTrace(ctx)
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{Bucket: o.bucket, Key: aws.String(name), Body: bytes.NewReader(body)})
	if err != nil {
		return trace.WrapError(err, true, "write object "+name)
	}
	return nil
}
