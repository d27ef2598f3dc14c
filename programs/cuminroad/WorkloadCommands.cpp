#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "Command.h"

namespace cuminroad::cli {

namespace {

using TextArg = TCLAP::ValueArg<std::string>;
using NumberArg = TCLAP::ValueArg<std::int64_t>;
using NameArg = TCLAP::UnlabeledValueArg<std::string>;

class SendRequest final : public Command {
public:
  std::string_view name() const override { return "request"; }
  std::string_view summary() const override {
    return "send one service request and print the response";
  }
  void addOptions(TCLAP::CmdLine &Line) override {
    Customer_ = std::make_unique<NameArg>("customer", "the customer", true, "",
                                          "CUSTOMER", Line);
    Service_ = std::make_unique<NameArg>("service", "the service", true, "",
                                         "SERVICE", Line);
    Body_ = std::make_unique<TextArg>("", "body", "the request's body", false,
                                      "", "TEXT", Line);
    Idempotent_ = std::make_unique<TCLAP::SwitchArg>(
        "", "idempotent", "the request may be run more than once", Line);
    Key_ = std::make_unique<TextArg>("", "key", "idempotency key", false, "",
                                     "KEY", Line);
    Ticket_ = std::make_unique<TextArg>("", "ticket",
                                        "ticket from the 'ticket' command",
                                        false, "", "TICKET", Line);
    Deadline_ = std::make_unique<NumberArg>("", "deadline-ms", "deadline",
                                            false, 0, "MS", Line);
  }
  int run(DaemonClient &Client, bool) override {
    HttpHeaders Headers{
        {"X-Idempotent", Idempotent_->getValue() ? "true" : "false"}};
    if (!Key_->getValue().empty())
      Headers.emplace_back("Idempotency-Key", Key_->getValue());
    if (!Ticket_->getValue().empty())
      Headers.emplace_back("X-Ticket", Ticket_->getValue());
    if (Deadline_->getValue() > 0)
      Headers.emplace_back("X-Deadline-Ms",
                           std::to_string(Deadline_->getValue()));
    const std::string Path =
        fmt::format("/v1/customers/{}/services/{}/requests",
                    Customer_->getValue(), Service_->getValue());
    return printResponse(Client.call("POST", Path, Body_->getValue(), Headers));
  }

private:
  std::unique_ptr<NameArg> Customer_;
  std::unique_ptr<NameArg> Service_;
  std::unique_ptr<TextArg> Body_;
  std::unique_ptr<TCLAP::SwitchArg> Idempotent_;
  std::unique_ptr<TextArg> Key_;
  std::unique_ptr<TextArg> Ticket_;
  std::unique_ptr<NumberArg> Deadline_;
};

class IssueTicket final : public Command {
public:
  std::string_view name() const override { return "ticket"; }
  std::string_view summary() const override {
    return "get a ticket for a request that must not run more than once";
  }
  void addOptions(TCLAP::CmdLine &) override {}
  int run(DaemonClient &Client, bool) override {
    return printResponse(Client.call("POST", "/v1/tickets"));
  }
};

class SubmitJob final : public Command {
public:
  std::string_view name() const override { return "job submit"; }
  std::string_view summary() const override { return "submit a job"; }
  void addOptions(TCLAP::CmdLine &Line) override {
    File_ = std::make_unique<TextArg>("", "file", "the job, in JSON", true, "",
                                      "FILE", Line);
  }
  int run(DaemonClient &Client, bool) override {
    std::ifstream File(File_->getValue());
    std::stringstream Text;
    Text << File.rdbuf();
    return printResponse(Client.call("POST", "/v1/jobs", Text.str()));
  }

private:
  std::unique_ptr<TextArg> File_;
};

/// Implements "job show" and "job cancel", which take the same arguments.
class ShowOrCancelJob final : public Command {
public:
  explicit ShowOrCancelJob(bool IsCancel) : IsCancel_(IsCancel) {}
  std::string_view name() const override {
    return IsCancel_ ? "job cancel" : "job show";
  }
  std::string_view summary() const override {
    return IsCancel_ ? "cancel a job"
                     : "show a job and the reason why it waits";
  }
  void addOptions(TCLAP::CmdLine &Line) override {
    Id_ = std::make_unique<NameArg>("id", "the job", true, "", "ID", Line);
  }
  int run(DaemonClient &Client, bool) override {
    return printResponse(Client.call(IsCancel_ ? "DELETE" : "GET",
                                     "/v1/jobs/" + Id_->getValue()));
  }

private:
  bool IsCancel_;
  std::unique_ptr<NameArg> Id_;
};

class DrainVm final : public Command {
public:
  std::string_view name() const override { return "vm drain"; }
  std::string_view summary() const override {
    return "stop placing work on a VM and move its work where possible";
  }
  void addOptions(TCLAP::CmdLine &Line) override {
    Vm_ = std::make_unique<NameArg>("vm", "the VM", true, "", "VM", Line);
  }
  int run(DaemonClient &Client, bool) override {
    // A daemon knows only the VMs of its own failure domain, so each is tried.
    Result<DaemonResponse> Response =
        failure(ErrorCode::ConnectFailed, "no server given");
    for (const std::string &Server : Client.servers()) {
      Response = Client.callServer(Server, "POST",
                                   "/v1/vms/" + Vm_->getValue() + "/drain");
      if (Response && Response->ok())
        break;
    }
    return printResponse(Response);
  }

private:
  std::unique_ptr<NameArg> Vm_;
};

} // namespace

std::vector<std::unique_ptr<Command>> makeWorkloadCommands() {
  std::vector<std::unique_ptr<Command>> Commands;
  Commands.push_back(std::make_unique<SendRequest>());
  Commands.push_back(std::make_unique<IssueTicket>());
  Commands.push_back(std::make_unique<SubmitJob>());
  Commands.push_back(std::make_unique<ShowOrCancelJob>(false));
  Commands.push_back(std::make_unique<ShowOrCancelJob>(true));
  Commands.push_back(std::make_unique<DrainVm>());
  return Commands;
}

} // namespace cuminroad::cli
