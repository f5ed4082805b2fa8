package ryemast.net.http;

/** The reasons that go with the codes in use. */
final class HttpStatus {

    private HttpStatus() {
    }

    static String reason(int status) {
        return switch (status) {
            case 100 -> "Continue";
            case 200 -> "OK";
            case 202 -> "Accepted";
            case 204 -> "No Content";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 413 -> "Content Too Large";
            case 417 -> "Expectation Failed";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 501 -> "Not Implemented";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            case 505 -> "HTTP Version Not Supported";
            default -> "Other";
        };
    }
}
