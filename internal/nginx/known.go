package nginx

// What is known of directives that the importer has no further use for, by name. The
// grouping follows the modules of nginx's reference.

// needless are about nginx's own process, files and sockets, or set what the gateway always
// does or decides by itself.
var needless = set("user", "worker_processes", "worker_connections", "worker_rlimit_nofile", "worker_cpu_affinity", "worker_priority", "pid", "daemon",
	"master_process", "events", "use", "multi_accept", "accept_mutex", "error_log", "access_log", "log_format", "log_not_found", "sendfile", "tcp_nopush",
	"tcp_nodelay", "keepalive_timeout", "keepalive_requests", "keepalive_time", "types_hash_max_size", "types_hash_bucket_size", "server_names_hash_bucket_size", "server_names_hash_max_size",
	"variables_hash_max_size", "variables_hash_bucket_size", "map_hash_bucket_size", "map_hash_max_size", "proxy_headers_hash_max_size", "proxy_headers_hash_bucket_size", "types", "default_type",
	"server_tokens", "proxy_http_version", "proxy_buffering", "proxy_buffers", "proxy_buffer_size", "proxy_busy_buffers_size",
	"proxy_temp_path", "proxy_max_temp_file_size", "proxy_temp_file_write_size", "client_body_buffer_size", "client_header_buffer_size", "large_client_header_buffers",
	"client_body_temp_path", "reset_timedout_connection", "lingering_close", "lingering_time", "lingering_timeout", "ignore_invalid_headers", "underscores_in_headers",
	"zone", "keepalive", "open_file_cache", "open_file_cache_valid", "open_file_cache_min_uses", "open_file_cache_errors", "resolver_timeout", "charset", "env",
	"client_header_timeout", "client_body_timeout", "send_timeout", "limit_req_zone", "limit_conn_zone", "limit_req_status", "limit_conn_status", "limit_req_log_level", "limit_conn_log_level",
	"proxy_socket_keepalive", "server_name_in_redirect", "recursive_error_pages", "rewrite_log", "aio", "directio", "output_buffers", "postpone_output", "pcre_jit", "thread_pool", "load_module", "ssl_session_cache", "ssl_session_timeout", "ssl_session_tickets")

// left are not taken, with the reason and what to do.
var left = map[string]string{
	"root": "no files are served here; requests that nothing else takes are answered 404", "alias": "no files are served here", "index": "no files are served here",
	"try_files": "no files are served here, so none can be tried", "autoindex": "no files are served here", "error_page": "answers of errors are not replaced",
	"internal": "there are no internal redirects", "auth_basic": "nobody is asked for a password here", "auth_basic_user_file": "nobody is asked for a password here", "auth_request": "there are no sub-requests",
	"allow": "addresses are not allowed or denied by location: contracts know teams by address", "deny": "addresses are not allowed or denied by location", "satisfy": "see allow and deny",
	"gzip": "answers are not compressed here", "gzip_types": "answers are not compressed here", "gzip_proxied": "answers are not compressed here", "gzip_vary": "answers are not compressed here", "gzip_comp_level": "answers are not compressed here", "gzip_min_length": "answers are not compressed here", "gzip_static": "no files are served here",
	"proxy_cache": "nothing is cached here", "proxy_cache_path": "nothing is cached here", "proxy_cache_valid": "nothing is cached here", "proxy_cache_key": "nothing is cached here", "proxy_cache_bypass": "nothing is cached here", "proxy_no_cache": "nothing is cached here", "proxy_cache_use_stale": "nothing is cached here", "proxy_cache_lock": "nothing is cached here", "proxy_cache_methods": "nothing is cached here",
	"expires": "nothing is added for caches; add_header says it", "fastcgi_pass": "FastCGI is not spoken here", "uwsgi_pass": "uwsgi is not spoken here", "scgi_pass": "SCGI is not spoken here", "grpc_pass": "gRPC has no import yet", "memcached_pass": "memcached is not spoken here",
	"limit_req": "limits by key are not there yet: contracts bound teams", "limit_conn": "limits by key are not there yet", "limit_rate": "answers are not slowed down", "limit_rate_after": "answers are not slowed down", "limit_except": "name methods in the route",
	"map": "variables by map are not evaluated: write routes with conditions on headers", "geo": "variables by address are not evaluated", "split_clients": "use pools with weights and a stable key", "set": "only texts without variables are known beforehand", "if": "conditions are not evaluated: write routes with conditions on headers or methods",
	"proxy_redirect": "Location is passed on as it comes", "proxy_cookie_domain": "cookies are passed on as they come", "proxy_cookie_path": "cookies are passed on as they come", "proxy_ssl_verify": "hosts are not asked over TLS", "proxy_ssl_name": "hosts are not asked over TLS", "proxy_ssl_server_name": "hosts are not asked over TLS", "proxy_ssl_certificate": "hosts are not asked over TLS", "proxy_ssl_certificate_key": "hosts are not asked over TLS", "proxy_ssl_trusted_certificate": "hosts are not asked over TLS", "proxy_ssl_protocols": "hosts are not asked over TLS", "proxy_ssl_ciphers": "hosts are not asked over TLS", "proxy_ssl_session_reuse": "hosts are not asked over TLS",
	"proxy_bind": "connections come from any address", "proxy_method": "the method goes on as it came", "proxy_pass_request_body": "bodies go on as they came", "proxy_pass_request_headers": "headers go on; remove them by name in request_headers", "proxy_set_body": "bodies go on as they came", "proxy_intercept_errors": "answers of errors are not replaced", "proxy_ignore_headers": "nothing is cached here", "proxy_ignore_client_abort": "a client that leaves calls its attempt off", "proxy_store": "nothing is stored here", "proxy_force_ranges": "ranges are the service's own", "mirror": "requests are not mirrored", "sub_filter": "bodies are passed on as they come", "stub_status": "metrics are the log's", "ssl_client_certificate": "clients' certificates are not asked for", "ssl_verify_client": "clients' certificates are not asked for", "ssl_dhparam": "the library's choice stands", "ssl_ciphers": "the library's choice stands", "ssl_prefer_server_ciphers": "the library's choice stands", "ssl_protocols": "TLS 1.2 and later are spoken", "ssl_ecdh_curve": "the library's choice stands", "ssl_stapling": "OCSP is not stapled", "ssl_stapling_verify": "OCSP is not stapled", "ssl_trusted_certificate": "OCSP is not stapled",
	"stream": "raw streams are not proxied", "mail": "mail is not proxied", "perl": "code is not run", "js_import": "code is not run", "js_content": "code is not run", "real_ip_header": "name trusted proxies under [forwarded]", "set_real_ip_from": "name trusted proxies under [forwarded]", "real_ip_recursive": "name trusted proxies under [forwarded]", "hash": "requests of a key do not stay with one host; pools may have a stable key", "ip_hash": "requests of an address do not stay with one host", "sticky": "requests do not stay with one host", "ntlm": "connections are not a client's own", "queue": "waiting is the balancer's", "state": "hosts come from the file", "health_check": "hosts are judged by their answers", "break": "it ends rewrites: see rewrite", "max_ranges": "ranges are the service's own", "etag": "the service's own", "if_modified_since": "the service's own", "merge_slashes": "paths are matched as they stand, and refused where hosts could read them as another route's", "absolute_redirect": "redirects say where as the configuration does", "port_in_redirect": "redirects say where as the configuration does", "http2": "HTTP/2 is spoken wherever TLS is", "quic": "HTTP/3 is not spoken",
}

func set(names ...string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}
