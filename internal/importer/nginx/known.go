package nginx

import "strings"

// known tells what becomes of directives whose meaning does not depend on where they stand. What Import works on itself
// is not here; what is in neither is reported as unknown.
var known = map[string]struct {
	verdict Verdict
	note    string
}{}

func init() {
	for _, k := range []struct {
		verdict Verdict
		note    string
		names   string
	}{
		{Carried, "has no part in where requests go", `worker_processes worker_connections worker_rlimit_nofile worker_rlimit_core
			worker_cpu_affinity worker_priority worker_shutdown_timeout pid daemon master_process user group multi_accept use
			accept_mutex accept_mutex_delay debug_connection events load_module env pcre_jit thread_pool timer_resolution working_directory
			sendfile sendfile_max_chunk tcp_nopush tcp_nodelay aio directio aio_write types_hash_max_size types_hash_bucket_size
			server_names_hash_max_size server_names_hash_bucket_size variables_hash_max_size variables_hash_bucket_size
			map_hash_bucket_size map_hash_max_size proxy_headers_hash_max_size proxy_headers_hash_bucket_size
			default_type types charset server_tokens log_format error_log access_log log_not_found log_subrequest open_log_file_cache
			rewrite_log uninitialized_variable_warn open_file_cache open_file_cache_valid
			open_file_cache_min_uses open_file_cache_errors reset_timedout_connection lingering_close lingering_time
			lingering_timeout output_buffers postpone_output server_name_in_redirect port_in_redirect absolute_redirect
			msie_padding keepalive_disable connection_pool_size request_pool_size client_header_buffer_size
			large_client_header_buffers client_body_buffer_size client_body_temp_path client_body_in_file_only
			client_body_in_single_buffer proxy_buffers proxy_buffer_size proxy_busy_buffers_size proxy_temp_path
			proxy_max_temp_file_size proxy_temp_file_write_size etag if_modified_since max_ranges
			root_index ssl_session_cache ssl_session_tickets ssl_buffer_size ssl_prefer_server_ciphers http`},
		{Difference, "the listener's own settings hold: TLS 1.2 and 1.3 with Go's choice of ciphers", `ssl_protocols ssl_ciphers ssl_ecdh_curve
			ssl_dhparam ssl_session_timeout ssl_session_ticket_key ssl_stapling ssl_stapling_verify ssl_trusted_certificate
			ssl_early_data ssl_conf_command ssl_reject_handshake`},
		{Difference, "glencart speaks HTTP/1.1 with clients", "http2 http2_max_concurrent_streams http2_push http2_push_preload http3 quic_retry"},
		{Difference, "limits of connections and times are in [limits] of the file", `keepalive_timeout keepalive_requests keepalive_time client_header_timeout
			client_body_timeout send_timeout proxy_send_timeout`},
		{Difference, "answers go on as they come; what tells no length is passed on at once, up to 64 KiB are held", "proxy_buffering"},
		{Difference, "bodies up to 64 KiB are held so that they can be sent again, longer ones stream", "proxy_request_buffering"},
		{Difference, "HTTP/1.1 with connections kept is always spoken to boxes", "proxy_http_version proxy_socket_keepalive"},
		{Difference, "a box's Location header goes through unchanged: boxes have to word it for the client", "proxy_redirect"},
		{Difference, "answers go through as boxes word them", `proxy_hide_header proxy_pass_header proxy_ignore_headers proxy_cookie_path proxy_cookie_domain
			proxy_cookie_flags sub_filter sub_filter_once sub_filter_types sub_filter_last_modified add_before_body add_after_body
			expires add_trailer gzip gzip_types gzip_vary gzip_comp_level gzip_min_length gzip_proxied gzip_buffers gzip_disable
			gzip_http_version gzip_static gunzip brotli brotli_types brotli_comp_level brotli_static ssi charset_types override_charset
			http_gzip chunked_transfer_encoding limit_rate limit_rate_after proxy_limit_rate`},
		{Difference, "boxes see more requests: nothing is kept here", `proxy_cache proxy_cache_path proxy_cache_key proxy_cache_valid proxy_cache_use_stale
			proxy_cache_bypass proxy_no_cache proxy_cache_lock proxy_cache_lock_timeout proxy_cache_lock_age proxy_cache_methods
			proxy_cache_min_uses proxy_cache_revalidate proxy_cache_background_update proxy_cache_convert_head proxy_cache_purge
			proxy_cache_max_range_offset proxy_store proxy_store_access slice`},
		{Difference, "floods are met by refusals when boxes have no room, and by shares of tenants, not by a rate for each key", `limit_req limit_req_zone
			limit_req_status limit_req_log_level limit_req_dry_run limit_conn limit_conn_zone limit_conn_status limit_conn_log_level
			limit_conn_dry_run`},
		{Difference, "a client that leaves ends its attempts", "proxy_ignore_client_abort"},
		{Difference, "the box's own words for an error go through", "proxy_intercept_errors recursive_error_pages"},
		{NotCarried, "copies of requests are not sent", "mirror mirror_request_body"},
		{NotCarried, "names of boxes are looked up when a connection is made", "resolver resolver_timeout"},
		{NotCarried, "TCP and UDP are not served by this front", "stream"},
		{NotCarried, "mail is not served", "mail"},
		{NotCarried, "the variable stands for nothing here: what uses it is reported where it is used", "map geo split_clients perl_set js_set js_import js_var geoip_country geoip_city geoip2 userid userid_name userid_expires userid_path userid_domain"},
		{NotCarried, "glencart's own figures are elsewhere", "stub_status status status_zone api health_check match"},
		{Difference, "connections to boxes are plain or TLS with Go's choices", `proxy_ssl_protocols proxy_ssl_ciphers proxy_ssl_session_reuse
			proxy_ssl_verify_depth proxy_ssl_conf_command`},
		{Difference, "the front's own address is used", "proxy_bind"},
		{NotCarried, "trailers and 1xx answers: only the final answer counts", "early_hints proxy_pass_trailers"},
	} {
		for name := range strings.FieldsSeq(k.names) {
			known[name] = struct {
				verdict Verdict
				note    string
			}{k.verdict, k.note}
		}
	}
}
