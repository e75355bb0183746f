#include "keyfile.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "bb_error.h"

#define MAX_KEY_FILE_BYTES 4096

static int
add_errno_finding(bb_findings_t *findings, const char *path,
                  const char *problem)
{
    BbFindings_Add(findings, path, NULL, NULL, 0, "%s: %s", problem,
                   strerror(errno));
    return BB_ERR_IO;
}

static char *
format_key(const keyfile_t *key)
{
    char secret[2 * KEYFILE_SECRET_BYTES + 1];

    sodium_bin2hex(secret, sizeof(secret), key->secret_key,
                   sizeof(key->secret_key));
    json_t *object = json_pack("{s:s,s:s}", "public_key", key->public_key,
                               "secret_key", secret);
    char *text = json_dumps(object, JSON_INDENT(2));
    json_decref(object);
    sodium_memzero(secret, sizeof(secret));
    return text;
}

/* Writes all of the text and flushes it to disk. Returns 0 on success. */
static int
write_all(int fd, const char *text)
{
    size_t size = strlen(text), done = 0;

    while (done < size) {
        ssize_t count = write(fd, text + done, size - done);
        if (count < 0 && errno != EINTR) {
            return -1;
        }
        done += count > 0 ? (size_t)count : 0;
    }
    return fsync(fd);
}

int
Keyfile_Create(const char *path, keyfile_t *key, bb_findings_t *findings)
{
    unsigned char public_key[crypto_sign_PUBLICKEYBYTES];
    int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC | O_NOFOLLOW,
                  S_IRUSR | S_IWUSR);

    if (fd < 0) {
        return add_errno_finding(findings, path, "cannot be created");
    }
    crypto_sign_keypair(public_key, key->secret_key);
    sodium_bin2hex(key->public_key, sizeof(key->public_key), public_key,
                   sizeof(public_key));
    char *text = format_key(key);
    int error = 0;
    /* The mode is set again because the umask may have removed bits of it. */
    if (write_all(fd, text) != 0 || fchmod(fd, S_IRUSR | S_IWUSR) != 0) {
        error = add_errno_finding(findings, path, "cannot be written");
        unlink(path);
    }
    sodium_memzero(text, strlen(text));
    free(text);
    close(fd);
    return error;
}

static int
parse_key(const char *text, size_t size, keyfile_t *key)
{
    unsigned char public_key[crypto_sign_PUBLICKEYBYTES];
    json_t *object = json_loadb(text, size, 0, NULL);
    const char *secret =
        json_string_value(json_object_get(object, "secret_key"));
    size_t secret_size = 0;
    int error = BB_ERR_PARSE;

    if (secret != NULL &&
        sodium_hex2bin(key->secret_key, sizeof(key->secret_key), secret,
                       strlen(secret), NULL, &secret_size, NULL) == 0 &&
        secret_size == sizeof(key->secret_key)) {
        crypto_sign_ed25519_sk_to_pk(public_key, key->secret_key);
        sodium_bin2hex(key->public_key, sizeof(key->public_key), public_key,
                       sizeof(public_key));
        error = 0;
    }
    json_decref(object);
    return error;
}

static int
read_key(int fd, const char *path, keyfile_t *key, bb_findings_t *findings)
{
    char text[MAX_KEY_FILE_BYTES];
    struct stat status;

    if (fstat(fd, &status) != 0) {
        return add_errno_finding(findings, path, "cannot be read");
    }
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        BbFindings_Add(findings, path, NULL, NULL, 0,
                       "mode %04o lets others use the key; set it to 0600",
                       (unsigned int)(status.st_mode & 07777));
        return BB_ERR_INVALID;
    }
    ssize_t size = read(fd, text, sizeof(text));
    if (size < 0) {
        return add_errno_finding(findings, path, "cannot be read");
    }
    int error = parse_key(text, (size_t)size, key);
    if (error != 0) {
        BbFindings_Add(findings, path, NULL, NULL, 0,
                       "is not a key file of bbctl: it must be JSON with a "
                       "\"secret_key\" of 128 hex digits");
    }
    sodium_memzero(text, sizeof(text));
    return error;
}

int
Keyfile_Load(const char *path, keyfile_t *key, bb_findings_t *findings)
{
    int fd = open(path, O_RDONLY | O_CLOEXEC);

    memset(key, 0, sizeof(*key));
    if (fd < 0) {
        return add_errno_finding(findings, path, "cannot be opened");
    }
    int error = read_key(fd, path, key, findings);
    close(fd);
    return error;
}

void
Keyfile_Wipe(keyfile_t *key)
{
    sodium_memzero(key, sizeof(*key));
}
